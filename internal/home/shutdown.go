package home

import (
	"time"

	"siskintray.example/siskin"
)

// CommitTime is the time that a planned stop leaves for a commit after the last
// other statement of a transaction.
const CommitTime = 500 * time.Millisecond

// Shutdown is the schedule of a planned stop. The zero value means that none is
// planned.
type Shutdown struct {
	// AbortAfter is the time until which statements of open transactions run in
	// any case.
	AbortAfter time.Time
	// Deadline is the time at which every statement must have its answer.
	Deadline time.Time
}

// Admit returns the time that a statement may take, at most timeout. ok is
// false when it must not be sent: it could not end before the deadline, or the
// commit of its transaction could not.
func (s Shutdown) Admit(now time.Time, kind siskin.StatementKind, inTx bool, timeout time.Duration) (limit time.Duration, ok bool) {
	if s.Deadline.IsZero() {
		return timeout, true
	}
	left := s.Deadline.Sub(now)
	needed := timeout
	switch {
	case kind == siskin.Rollback:
		needed = 0
	case kind == siskin.Commit:
		needed = min(timeout, CommitTime)
	case now.Before(s.AbortAfter):
		needed = 0
	case inTx:
		needed += CommitTime
	}
	return min(timeout, left), left > 0 && left >= needed
}
