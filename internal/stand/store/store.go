package store

import (
	"maps"
	"slices"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// maxHeard is reported as the silence of a primary that was never heard.
const maxHeard = 24 * time.Hour

// Leader is the primary that a replica follows.
type Leader struct {
	ID      siskin.TargetID
	Address string
	Term    siskin.Term
}

// Rules turn off rules of replication. Tests use them to show that a run
// detects the absence of a rule; the zero value keeps all rules.
type Rules struct {
	// NoTermRecord leaves out the record that a promotion writes.
	NoTermRecord bool
	// RewindToStart makes a replica that joins a new term drop its whole log.
	RewindToStart bool
	// KeepStreamTerm lets a demoted primary report its old term.
	KeepStreamTerm bool
}

// Store is the state of one target. It survives a restart of the stand-in.
type Store struct {
	mu      sync.Mutex
	id      siskin.TargetID
	role    siskin.TargetRole
	claimed siskin.Term
	by      siskin.VMID
	session uint64 // session that made the claim
	stream  siskin.Term
	leader  Leader
	// generation grows whenever the stream must not go on, so that a message
	// of an earlier stream is dropped.
	generation uint64
	ended      chan struct{} // closed when the generation grows
	heard      time.Time
	leaving    bool
	drainUntil time.Time
	running    int // transactions in progress that may write

	log     recordLog
	applied siskin.LSN
	next    int // index of the first record that is not applied
	table   map[string]string
	changed chan struct{}
	rules   Rules
}

// New returns a target of term 1: its primary when leader names id itself,
// else a replica that follows leader.
func New(id siskin.TargetID, leader Leader) *Store {
	s := &Store{id: id, leader: leader, claimed: 1, table: make(map[string]string), changed: make(chan struct{}), ended: make(chan struct{})}
	if leader.ID == id {
		s.role, s.stream = siskin.RolePrimary, 1
		s.appendLocked(Record{Term: 1, End: recordOverhead})
		s.applyLocked(s.log.end())
	}
	return s
}

// SetRules replaces the rules in force.
func (s *Store) SetRules(r Rules) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules = r
}

// Changed returns a channel that is closed at the next change of the state.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// endStreamLocked ends the stream in progress, if any.
func (s *Store) endStreamLocked() {
	s.generation++
	close(s.ended)
	s.ended = make(chan struct{})
}

// Status reports the state at the given time.
func (s *Store) Status(now time.Time) siskin.TargetStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statusLocked(now)
}

func (s *Store) statusLocked(now time.Time) siskin.TargetStatus {
	st := siskin.TargetStatus{
		ID: s.id, Role: s.role, ClaimedTerm: s.claimed, ClaimedBy: s.by, StreamTerm: s.stream,
		LastTerm: s.log.lastTerm(), Received: s.log.end(), Applied: s.applied, Leaving: s.leaving,
		Draining: s.role == siskin.RolePrimary && (now.Before(s.drainUntil) || s.claimed > s.stream),
		Running:  s.running,
	}
	if s.role == siskin.RoleReplica {
		st.HeardPrimary = min(now.Sub(s.heard), maxHeard)
	}
	return st
}

// SetLeaving marks the target as leaving.
func (s *Store) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
	s.notifyLocked()
}

// Reached reports whether the log has reached pos in the stream of its term,
// or the target follows a later term.
func (s *Store) Reached(pos siskin.Position) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream > pos.Term || (s.stream == pos.Term && s.log.end() >= pos.LSN)
}

// Get returns the applied value of key.
func (s *Store) Get(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.table[key]
	return v, ok
}

// Table returns a copy of the applied table.
func (s *Store) Table() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.table)
}

// Records returns a copy of the log.
func (s *Store) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.log.records)
}
