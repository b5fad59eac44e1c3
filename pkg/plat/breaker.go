package plat

import (
	"sync"
	"time"
)

// breakerThreshold is the number of failures in a row from which calls are
// held back. A single lost connection must not stop other calls.
const breakerThreshold = 3

// breaker decides whether a call may be made while calls fail. From the
// threshold on it lets one call at a time through, after a random delay that
// grows with the number of failures.
type breaker struct {
	mu       sync.Mutex
	min, max time.Duration
	random   func() float64
	failures int
	probing  bool
	retryAt  time.Time
}

// allow reports whether a call may be made now, and else how long to wait.
func (b *breaker) allow(now time.Time) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerThreshold {
		return 0, true
	}
	if now.Before(b.retryAt) {
		return b.retryAt.Sub(now), false
	}
	if b.probing {
		return b.max, false
	}
	b.probing = true
	return 0, true
}

// result is the outcome of one call for the breaker.
type result int

const (
	succeeded result = iota
	failed
	canceled // the caller gave up; says nothing about the platform
)

// record notes the outcome of a call that allow let through.
func (b *breaker) record(now time.Time, r result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	switch r {
	case succeeded:
		b.failures = 0
	case failed:
		b.failures++
		b.retryAt = now.Add(jitter(b.random, b.min, b.max, b.failures))
	}
}

func (b *breaker) open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures >= breakerThreshold
}

// jitter returns a delay of full jitter: uniform between zero and an upper end
// that doubles with each failure up to longest.
func jitter(random func() float64, shortest, longest time.Duration, failures int) time.Duration {
	upper := longest
	if failures < 32 {
		upper = min(longest, shortest<<max(0, failures-1))
	}
	return time.Duration(random() * float64(upper))
}
