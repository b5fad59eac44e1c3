package retry

import "time"

// Backoff is an exponential backoff with full jitter: each delay is drawn
// uniformly between zero and a bound that doubles with each attempt, so that
// callers that failed at the same time do not retry at the same time.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns the delay before the retry with the given number, counted from
// 1. The function intN returns a uniform random number in [0, n).
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
