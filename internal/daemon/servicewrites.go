package daemon

import (
	"sync"
	"time"

	"siskintray.example/siskin"
)

const (
	// quietTime is the time without a write after which nobody counts as kept
	// waiting: the write gap of a service that is used rarely then begins with
	// the first write that met the interruption.
	quietTime = time.Second
	// minGap is the shortest gap that is recorded without a change of term. A
	// single write can fail without an interruption, and then others are
	// acknowledged soon before and after it.
	minGap = 200 * time.Millisecond
)

// serviceWrites is what is known of the writes of one service.
type serviceWrites struct {
	mu    sync.Mutex
	acked time.Time   // end of the last acknowledged write; zero before the first
	term  siskin.Term // highest term of an acknowledged write
	// first is the beginning of the first write since then that failed.
	first time.Time
	// waited is the end of the acknowledged write before the last one, when the
	// last one waited for minGap or longer. A write of the former primary may be
	// confirmed only at the end of a change of primary.
	waited time.Time
}

// failed notes a write that an interruption may have ended. One that began
// before the last acknowledged write says nothing about the time after it.
func (s *serviceWrites) failed(kind siskin.ErrorKind, began time.Time) {
	if !interrupts(kind) || s.acked.IsZero() || began.Before(s.acked) {
		return
	}
	if s.first.IsZero() || began.Before(s.first) {
		s.first = began
	}
}

// acknowledged notes an acknowledged write and returns the gap that it ends.
func (s *serviceWrites) acknowledged(now, began time.Time, term siskin.Term) (gap time.Duration, ok bool) {
	replaced := s.term != 0 && term > s.term
	if replaced || !s.first.IsZero() {
		first := s.first
		if first.IsZero() || began.Before(first) {
			first = began
		}
		from := s.acked
		if replaced && !s.waited.IsZero() && now.Sub(s.acked) < minGap {
			from = s.waited
		}
		if first.Sub(from) > quietTime {
			from = first
		}
		gap = now.Sub(from)
		ok = replaced || gap >= minGap
	}
	s.waited = time.Time{}
	if !s.acked.IsZero() && now.Sub(began) >= minGap && now.Sub(s.acked) >= minGap {
		s.waited = s.acked
	}
	s.acked, s.first, s.term = now, time.Time{}, max(s.term, term)
	return gap, ok
}

// interrupts reports whether a failure of the kind can come from a service that
// takes no writes. Refusals for the sake of a customer's rate, key or share of
// a queue do not.
func interrupts(kind siskin.ErrorKind) bool {
	return kind == siskin.NotRun || kind == siskin.OutcomeUnknown || kind == siskin.Unavailable
}
