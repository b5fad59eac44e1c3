package siskin

import "time"

// Clock tells the time and waits. It is the subset of clockwork.Clock that the
// packages use, so that both a real and a fake clock of that library fit.
type Clock interface {
	Now() time.Time
	Since(t time.Time) time.Duration
	Sleep(d time.Duration)
	After(d time.Duration) <-chan time.Time
}
