package siskin

import "time"

// Clock provides the current time and timers. It is the subset of
// clockwork.Clock that the packages use, so that both the real and the fake
// clock of that library implement it.
type Clock interface {
	Now() time.Time
	Since(t time.Time) time.Duration
	Sleep(d time.Duration)
	After(d time.Duration) <-chan time.Time
}
