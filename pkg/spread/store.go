package spread

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/invar"
)

var (
	revisionNeverReverts = invar.New("ConfigRevisionNeverReverts")
	documentNeverReverts = invar.New("ConfigDocumentNeverReverts")
	onlyAccepted         = invar.New("ConfigOnlyAcceptedVisible")
)

// shardCount is the number of parts of the documents, in memory and in the
// platform. At 23,000 documents of 2 KB a part has about 180 KB.
const shardCount = 256

// store holds the documents in force. Readers load a part that is never
// modified; writers replace the part under the lock.
type store struct {
	parts    [shardCount]atomic.Pointer[map[key]*entry]
	revision atomic.Uint64
	names    atomic.Pointer[names] // nil after a document came or went
	changed  atomic.Pointer[chan struct{}]

	mu  sync.Mutex
	log []logged // documents by revision; an entry is void when the document has a later one
	n   int      // number of documents, tombstones included
}

type logged struct {
	revision siskin.Revision
	key      key
}

// afterRevision is the place behind all documents of a revision.
func afterRevision(rev siskin.Revision) logged { return logged{rev, key{kind: "~"}} }

func (l logged) compare(o logged) int {
	return cmp.Or(cmp.Compare(l.revision, o.revision), cmp.Compare(l.key.kind, o.key.kind), cmp.Compare(l.key.name, o.key.name))
}

type names struct {
	services  []siskin.ServiceName
	customers []siskin.CustomerID
}

func newStore() *store {
	s := &store{}
	for i := range s.parts {
		s.parts[i].Store(&map[key]*entry{})
	}
	ch := make(chan struct{})
	s.changed.Store(&ch)
	return s
}

func partOf(k key) int { return int(xxhash.Sum64String(string(k.kind)+"/"+k.name) % shardCount) }

func (s *store) get(k key) *entry { return (*s.parts[partOf(k)].Load())[k] }

// install puts documents into force that are newer than those held, and then
// the revision. Zero means that the documents do not complete a revision.
func (s *store) install(entries []*entry, rev siskin.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byPart := make(map[int][]*entry)
	for _, e := range entries {
		if old := s.get(e.key()); old == nil || old.Revision < e.Revision {
			byPart[partOf(e.key())] = append(byPart[partOf(e.key())], e)
		}
	}
	for i, changes := range byPart {
		s.replacePart(i, changes)
	}
	old := siskin.Revision(s.revision.Load())
	if rev > old {
		s.revision.Store(uint64(rev))
	}
	revisionNeverReverts.Check(s.Revision() >= old, "revision %d after %d", s.Revision(), old)
	if len(byPart) == 0 && rev <= old {
		return
	}
	s.orderLog()
	ch := make(chan struct{})
	close(*s.changed.Swap(&ch))
}

func (s *store) replacePart(i int, changes []*entry) {
	held := *s.parts[i].Load()
	part := make(map[key]*entry, len(held)+len(changes))
	for k, e := range held {
		part[k] = e
	}
	for _, e := range changes {
		old := part[e.key()]
		documentNeverReverts.Check(old == nil || old.Revision < e.Revision, "%s %s: revision %d", e.Kind, e.Name, e.Revision)
		if old == nil {
			s.n++
		}
		if (old == nil || old.Deleted) != e.Deleted {
			s.names.Store(nil)
		}
		part[e.key()] = e
		s.log = append(s.log, logged{e.Revision, e.key()})
	}
	s.parts[i].Store(&part)
}

// orderLog orders the log and drops void entries now and then. Changes arrive
// in order but for the start and for gaps.
func (s *store) orderLog() {
	if len(s.log) > 2*s.n+1000 {
		s.log = slices.DeleteFunc(s.log, func(l logged) bool { return s.get(l.key).Revision != l.revision })
	}
	if !slices.IsSortedFunc(s.log, logged.compare) {
		slices.SortFunc(s.log, logged.compare)
	}
}

// since returns the documents after a place in the log, up to a size. A
// document that changes meanwhile moves to the end, so a reader that goes on
// from the last document it got misses none.
func (s *store) since(after logged) (docs []Document, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, found := slices.BinarySearchFunc(s.log, after, logged.compare)
	if found {
		from++
	}
	size := 0
	for _, l := range s.log[from:] {
		e := s.get(l.key)
		if e.Revision != l.revision {
			continue
		}
		if size > pageBytes {
			return docs, true
		}
		docs = append(docs, e.Document)
		size += len(e.Body) + 100
	}
	return docs, false
}

// all returns the entries of one part.
func (s *store) all(i int) map[key]*entry { return *s.parts[i].Load() }

// Revision implements config.View.
func (s *store) Revision() siskin.Revision { return siskin.Revision(s.revision.Load()) }

// Service implements config.View.
func (s *store) Service(name siskin.ServiceName) (*config.Service, bool) {
	return s.get(key{ServiceKind, string(name)}).asService()
}

// Customer implements config.View.
func (s *store) Customer(id siskin.CustomerID) (*config.Customer, bool) {
	return s.get(key{CustomerKind, string(id)}).asCustomer()
}

// Services implements config.View.
func (s *store) Services() []siskin.ServiceName { return s.allNames().services }

// Customers implements config.View.
func (s *store) Customers() []siskin.CustomerID { return s.allNames().customers }

// Changed implements config.View.
func (s *store) Changed() <-chan struct{} { return *s.changed.Load() }
