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

// shardCount is the number of shards of the documents, in memory and on the
// platform. With 23,000 documents of 2 KB, a shard has about 180 KB.
const shardCount = 256

// store holds the documents in force. A shard is immutable: readers load it
// without a lock, and writers replace it under the lock (copy on write).
type store struct {
	shards   [shardCount]atomic.Pointer[map[key]*entry]
	revision atomic.Uint64
	names    atomic.Pointer[names] // cache; nil after a document was added or deleted
	changed  atomic.Pointer[chan struct{}]

	mu            sync.Mutex
	log           []logEntry // by revision; an entry is obsolete if its document has a later revision
	documentCount int        // number of documents, tombstones included
}

type logEntry struct {
	revision siskin.Revision
	key      key
}

// afterRevision returns the log position after all documents of a revision.
func afterRevision(rev siskin.Revision) logEntry { return logEntry{rev, key{kind: "~"}} }

func (l logEntry) compare(o logEntry) int {
	return cmp.Or(cmp.Compare(l.revision, o.revision), cmp.Compare(l.key.kind, o.key.kind), cmp.Compare(l.key.name, o.key.name))
}

type names struct {
	services  []siskin.ServiceName
	customers []siskin.CustomerID
}

func newStore() *store {
	s := &store{}
	for i := range s.shards {
		s.shards[i].Store(&map[key]*entry{})
	}
	ch := make(chan struct{})
	s.changed.Store(&ch)
	return s
}

func shardOf(k key) int { return int(xxhash.Sum64String(string(k.kind)+"/"+k.name) % shardCount) }

func (s *store) get(k key) *entry { return (*s.shards[shardOf(k)].Load())[k] }

// install stores the documents that are newer than the stored ones and then
// advances the revision in force to rev. A zero rev means that the documents do
// not complete a revision.
func (s *store) install(entries []*entry, rev siskin.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byShard := make(map[int][]*entry)
	for _, e := range entries {
		if old := s.get(e.key()); old == nil || old.Revision < e.Revision {
			byShard[shardOf(e.key())] = append(byShard[shardOf(e.key())], e)
		}
	}
	for i, changes := range byShard {
		s.replaceShard(i, changes)
	}
	old := siskin.Revision(s.revision.Load())
	if rev > old {
		s.revision.Store(uint64(rev))
	}
	revisionNeverReverts.Check(s.Revision() >= old, "revision %d is in force after %d", s.Revision(), old)
	if len(byShard) == 0 && rev <= old {
		return
	}
	s.compactAndSortLog()
	ch := make(chan struct{})
	close(*s.changed.Swap(&ch))
}

func (s *store) replaceShard(i int, changes []*entry) {
	current := *s.shards[i].Load()
	shard := make(map[key]*entry, len(current)+len(changes))
	for k, e := range current {
		shard[k] = e
	}
	for _, e := range changes {
		old := shard[e.key()]
		documentNeverReverts.Check(old == nil || old.Revision < e.Revision, "%s %s: revision %d is not newer than the stored one", e.Kind, e.Name, e.Revision)
		if old == nil {
			s.documentCount++
		}
		if (old == nil || old.Deleted) != e.Deleted {
			s.names.Store(nil)
		}
		shard[e.key()] = e
		s.log = append(s.log, logEntry{e.Revision, e.key()})
	}
	s.shards[i].Store(&shard)
}

// compactAndSortLog sorts the log and removes obsolete entries when it has far
// more entries than there are documents. Changes arrive in order, except at the
// start and after gaps.
func (s *store) compactAndSortLog() {
	if len(s.log) > 2*s.documentCount+1000 {
		s.log = slices.DeleteFunc(s.log, func(l logEntry) bool { return s.get(l.key).Revision != l.revision })
	}
	if !slices.IsSortedFunc(s.log, logEntry.compare) {
		slices.SortFunc(s.log, logEntry.compare)
	}
}

// since returns the documents after a log position, up to about maxPageBytes.
// A document that changes between two pages moves to the end of the log, so a
// reader that continues after the last document of a page misses none.
func (s *store) since(after logEntry) (docs []Document, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, found := slices.BinarySearchFunc(s.log, after, logEntry.compare)
	if found {
		from++
	}
	size := 0
	for _, l := range s.log[from:] {
		e := s.get(l.key)
		if e.Revision != l.revision {
			continue
		}
		if size > maxPageBytes {
			return docs, true
		}
		docs = append(docs, e.Document)
		size += len(e.Body) + 100
	}
	return docs, false
}

// shardEntries returns the entries of a shard, which must not be modified.
func (s *store) shardEntries(i int) map[key]*entry { return *s.shards[i].Load() }

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
func (s *store) Services() []siskin.ServiceName { return s.sortedNames().services }

// Customers implements config.View.
func (s *store) Customers() []siskin.CustomerID { return s.sortedNames().customers }

// Changed implements config.View.
func (s *store) Changed() <-chan struct{} { return *s.changed.Load() }
