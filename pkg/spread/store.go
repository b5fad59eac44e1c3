package spread

import (
	"slices"
	"sync"
	"sync/atomic"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/invar"
)

var neverReverts = invar.New("ConfigRevisionNeverReverts")

// logLength is the number of changes that a VM keeps for others. A VM that
// lacks more gets the whole state.
const logLength = 1024

// store holds the configuration in force and the latest changes. Reads do not
// block.
type store struct {
	state atomic.Pointer[state]

	mu  sync.Mutex // orders writers and guards log
	log []Numbered // the latest changes without gaps, up to the state's revision
}

func newStore() *store {
	s := &store{}
	s.state.Store(emptyState())
	return s
}

// apply brings in the changes that follow the present revision and returns
// those that were new. Changes behind a gap are left for later.
func (s *store) apply(changes []Numbered) []Numbered {
	s.mu.Lock()
	defer s.mu.Unlock()
	var applied []Numbered
	for _, n := range changes {
		now := s.state.Load()
		if n.Revision != now.revision+1 || n.Change == nil {
			continue
		}
		s.set(now.with(n))
		s.log = append(s.log, n)
		applied = append(applied, n)
	}
	if drop := len(s.log) - logLength; drop > 0 {
		s.log = slices.Delete(s.log, 0, drop)
	}
	return applied
}

// replace takes over a whole state if it is newer.
func (s *store) replace(revision siskin.Revision, all *config.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.state.Load().revision {
		return false
	}
	next := emptyState().with(Numbered{Revision: revision, Change: all})
	s.set(next)
	s.log = nil
	return true
}

// set publishes a state. The caller holds mu.
func (s *store) set(next *state) {
	old := s.state.Load()
	if !neverReverts.Check(next.revision > old.revision, "revision %d after %d", next.revision, old.revision) {
		return
	}
	s.state.Store(next)
	close(old.changed)
}

// since returns the changes after a revision. It reports false when some of
// them are no longer kept.
func (s *store) since(revision siskin.Revision) ([]Numbered, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision >= s.state.Load().revision {
		return nil, true
	}
	if len(s.log) == 0 || s.log[0].Revision > revision+1 {
		return nil, false
	}
	first := int(revision + 1 - s.log[0].Revision)
	return slices.Clone(s.log[first:]), true
}
