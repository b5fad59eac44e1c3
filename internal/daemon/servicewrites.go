package daemon

import (
	"sync"
	"time"

	"siskintray.example/siskin"
)

const (
	// idleTime is the time without a write after which a service counts as
	// idle. Its write gap then begins with the first write that an interruption
	// affected, not with the last acknowledged write.
	idleTime = time.Second
	// minGap is the shortest gap that is recorded without a change of term. A
	// single write can fail without an interruption; others are then
	// acknowledged shortly before and after it.
	minGap = 200 * time.Millisecond
)

// serviceWrites is the state of the write gap detection of one service.
type serviceWrites struct {
	mu      sync.Mutex
	lastAck time.Time   // end of the last acknowledged write; zero before the first
	term    siskin.Term // highest term of an acknowledged write
	// first is the earliest beginning of a write that failed since lastAck.
	first time.Time
	// beforeStall is the end of the last acknowledged write before the latest
	// ones, if these waited together for minGap or longer; else zero. Writes of
	// the former primary may be confirmed only at the end of a change of primary.
	beforeStall time.Time
	// lastGap is the gap that noteAck returned last.
	lastGap writeGap
}

// writeGap is a gap whose length is corrected when writes that waited in it end
// later.
type writeGap struct {
	lastAck time.Time // end of the last acknowledged write before it
	first   time.Time // earliest beginning of a write known to be affected by it
	end     time.Time
}

// length returns the time for which writes waited.
func (g *writeGap) length() time.Duration {
	if g.first.Sub(g.lastAck) > idleTime {
		return g.end.Sub(g.first)
	}
	return g.end.Sub(g.lastAck)
}

// noteFailure records a write that may have failed because of an interruption.
// It ignores a write that began before the last acknowledged one, which says
// nothing about the time since then.
func (s *serviceWrites) noteFailure(kind siskin.ErrorKind, began time.Time) {
	if !interrupts(kind) || s.lastAck.IsZero() || began.Before(s.lastAck) {
		return
	}
	if s.first.IsZero() || began.Before(s.first) {
		s.first = began
	}
}

// noteAck records an acknowledged write. It returns the gap that the write ends,
// if any.
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

// extendGap returns the new length of the last gap if the acknowledged write
// that ends now waited in it for longer than the writes before. Of several
// writes that end together, the one that waited longest may be observed last.
func (s *serviceWrites) extendGap(now, began time.Time) (gap time.Duration, ok bool) {
	if s.lastGap.end.IsZero() || now.Sub(s.lastGap.end) >= minGap || !began.Before(s.lastGap.first) {
		return 0, false
	}
	before := s.lastGap.length()
	s.lastGap.first = began
	gap = s.lastGap.length()
	return gap, gap > before
}

// interrupts reports whether a failure of the kind can mean that the service
// takes no writes. Refusals because of a customer's rate, key or queue share do
// not.
func interrupts(kind siskin.ErrorKind) bool {
	return kind == siskin.NotRun || kind == siskin.OutcomeUnknown || kind == siskin.Unavailable
}
