package limit

import (
	"time"

	"siskintray.example/siskin"
)

// maxWaiters bounds the requests of one customer that wait at one VM.
const maxWaiters = 256

// expect decides whether a refused request should wait: its tokens accrue in
// time, or units may arrive. It returns a channel that is closed when units
// arrive and the longest pause before the next attempt.
func (c *core) expect(now time.Duration, id siskin.CustomerID, n float64, until time.Duration) (<-chan struct{}, time.Duration, bool) {
	b := &c.buckets[bucketOf(id)]
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holdings[id]
	if h == nil || !h.known || now >= until || h.waiters >= maxWaiters {
		return nil, 0, false
	}
	accrues := h.retryAfter(n) <= until-now && n <= h.burst*h.share()
	if !accrues && (c.leaving.Load() || !h.expecting(until)) {
		return nil, 0, false
	}
	h.waiters++
	if h.arrived == nil {
		h.arrived = make(chan struct{})
	}
	pause := until - now
	if accrues {
		pause = min(pause, h.retryAfter(n))
	}
	return h.arrived, max(pause, time.Millisecond), true
}

// hopefulRounds is the number of rounds in vain over all holders after which
// requests do not wait for units anymore: the customer probably uses its whole
// rate, and its requests are answered at once.
const hopefulRounds = 2

// expecting reports whether a request for units is under way or will go out
// before the given time, with some hope of success.
func (h *holding) expecting(until time.Duration) bool {
	return h.failures <= hopefulRounds && (h.wanted || h.askAfter < until)
}

// unexpect ends a wait that expect began.
func (c *core) unexpect(id siskin.CustomerID) {
	b := &c.buckets[bucketOf(id)]
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.holdings[id]; h != nil {
		h.waiters--
	}
}
