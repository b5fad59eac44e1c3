package retry

import "time"

// Backoff is an exponential backoff with full jitter: each wait is drawn evenly
// from zero to a bound that doubles with each attempt, so that callers which
// failed together do not return together.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the wait before the attempt with the given number, from 1. The
// function intN returns an even draw from [0, n).
func (b Backoff) Delay(attempt int, intN func(n int64) int64) time.Duration {
	bound := b.Base
	for i := 1; i < attempt && bound < b.Max; i++ {
		bound *= 2
	}
	bound = min(bound, b.Max)
	if bound <= 0 {
		return 0
	}
	return time.Duration(intN(int64(bound) + 1))
}
