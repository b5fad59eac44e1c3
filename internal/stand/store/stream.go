package store

import (
	"slices"
	"time"

	"siskintray.example/siskin"
)

// Hello is a replica's request for its leader's log.
type Hello struct {
	Leader     Leader
	Generation uint64
	Segments   []Segment
	// Ended is closed when the stream must not go on.
	Ended <-chan struct{}
}

// Hello returns the request of a replica. It reports false when the target
// follows nobody or has been claimed for a later term than its leader's.
func (s *Store) Hello() (Hello, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != siskin.RoleReplica || s.leader.Term < s.claimed {
		return Hello{}, false
	}
	return Hello{Leader: s.leader, Generation: s.generation, Segments: slices.Clone(s.log.segments), Ended: s.ended}, true
}

// Serve returns the position from which a replica with the given segments
// takes the log of term. It fails unless the target is the primary of term.
func (s *Store) Serve(term siskin.Term, segments []Segment) (siskin.LSN, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != siskin.RolePrimary || s.stream != term {
		return 0, errStream(term)
	}
	return Divergence(s.log.segments, segments), nil
}

func errStream(term siskin.Term) error {
	return siskin.NewError(siskin.Unavailable, "no stream of term %d here", term).
		WithRemedy("follow the present primary")
}

// Next returns up to n records behind pos in the stream of term.
func (s *Store) Next(term siskin.Term, pos siskin.LSN, n int) ([]Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != siskin.RolePrimary || s.stream != term {
		return nil, errStream(term)
	}
	i := s.log.index(pos)
	return slices.Clone(s.log.records[i:min(i+n, len(s.log.records))]), nil
}

// Start begins the stream that hello asked for: it rewinds the log to the
// point of divergence and no further, since the records before it may have
// been acknowledged with this replica's confirmation.
func (s *Store) Start(now time.Time, hello Hello, from siskin.LSN) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.generation != hello.Generation {
		return errStream(hello.Leader.Term)
	}
	if s.rules.RewindToStart && s.stream != hello.Leader.Term {
		from = 0
	}
	s.rewindLocked(from)
	s.stream, s.heard = hello.Leader.Term, now
	s.notifyLocked()
	return nil
}

func (s *Store) rewindLocked(pos siskin.LSN) {
	s.log.cut(pos)
	if s.applied <= pos {
		return
	}
	clear(s.table)
	s.applied, s.next = 0, 0
	s.applyLocked(pos)
}

// Receive appends records of the stream that hello began. No records is a
// sign of life of the primary.
func (s *Store) Receive(now time.Time, hello Hello, records []Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.generation != hello.Generation {
		return errStream(hello.Leader.Term)
	}
	s.heard = now
	for _, r := range records {
		s.log.append(r)
	}
	if len(records) > 0 {
		s.notifyLocked()
	}
	return nil
}

// Apply applies the records that end at or before pos.
func (s *Store) Apply(pos siskin.LSN) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(pos)
}
