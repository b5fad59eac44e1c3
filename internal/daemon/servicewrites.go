package daemon

import (
	"sync"
	"time"

	"siskintray.example/siskin"
)

const (
	// idleTime is the time without a write after which nobody counts as kept
	// waiting: the write gap of a service that is used rarely then begins with
	// the first write that met the interruption.
	idleTime = time.Second
	// minGap is the shortest gap that is recorded without a change of term. A
	// single write can fail without an interruption, and then others are
	// acknowledged soon before and after it.
	minGap = 200 * time.Millisecond
)

// serviceWrites is what is known of the writes of one service.
type serviceWrites struct {
	mu      sync.Mutex
	lastAck time.Time   // end of the last acknowledged write; zero before the first
	term    siskin.Term // highest term of an acknowledged write
	// first is the beginning of the first write since then that failed.
	first time.Time
	// beforeStall is the end of the acknowledged write before the last ones, when these
	// beforeStall together for minGap or longer. Writes of the former primary may be
	// confirmed only at the end of a change of primary.
	beforeStall time.Time
	// lastGap is the last lastGap that was returned.
	lastGap writeGap
}

// writeGap is a gap whose length may be known better once the writes that waited in
// it have ended.
type writeGap struct {
	lastAck time.Time // end of the last acknowledged write before it
	first   time.Time // beginning of the first write that is known to have met it
	end     time.Time
}

// length returns the time for which writes waited.
func (g *writeGap) length() time.Duration {
	if g.first.Sub(g.lastAck) > idleTime {
		return g.end.Sub(g.first)
	}
	return g.end.Sub(g.lastAck)
}

// noteFailure notes a write that an interruption may have ended. One that began
// before the last acknowledged write says nothing about the time after it.
func (s *serviceWrites) noteFailure(kind siskin.ErrorKind, began time.Time) {
	if !interrupts(kind) || s.lastAck.IsZero() || began.Before(s.lastAck) {
		return
	}
	if s.first.IsZero() || began.Before(s.first) {
		s.first = began
	}
}

// noteAck records an acknowledged write and returns the gap that it ends.
func (s *serviceWrites) noteAck(now, began time.Time, term siskin.Term) (gap time.Duration, ok bool) {
	replaced := s.term != 0 && term > s.term
	if replaced || !s.first.IsZero() {
		first := s.first
		if first.IsZero() || began.Before(first) {
			first = began
		}
		from := s.lastAck
		if replaced && !s.beforeStall.IsZero() && now.Sub(s.lastAck) < minGap {
			from = s.beforeStall
		}
		g := writeGap{lastAck: from, first: first, end: now}
		gap = g.length()
		if ok = replaced || gap >= minGap; ok {
			s.lastGap = g
		}
	}
	switch {
	case s.lastAck.IsZero(), now.Sub(began) < minGap:
		s.beforeStall = time.Time{}
	case now.Sub(s.lastAck) >= minGap:
		s.beforeStall = s.lastAck
	case began.After(s.lastAck):
		s.beforeStall = time.Time{}
	}
	s.lastAck, s.first, s.term = now, time.Time{}, max(s.term, term)
	return gap, ok
}

// extendGap returns the length of the last gap when an acknowledged write that ends
// now had waited in it for longer than those before. Of writes that end together,
// the one that waited longest may come last.
func (s *serviceWrites) extendGap(now, began time.Time) (gap time.Duration, ok bool) {
	if s.lastGap.end.IsZero() || now.Sub(s.lastGap.end) >= minGap || !began.Before(s.lastGap.first) {
		return 0, false
	}
	before := s.lastGap.length()
	s.lastGap.first = began
	gap = s.lastGap.length()
	return gap, gap > before
}

// interrupts reports whether a failure of the kind can come from a service that
// takes no writes. Refusals for the sake of a customer's rate, key or share of
// a queue do not.
func interrupts(kind siskin.ErrorKind) bool {
	return kind == siskin.NotRun || kind == siskin.OutcomeUnknown || kind == siskin.Unavailable
}
