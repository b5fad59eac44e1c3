package home

import (
	"sync"
	"time"
)

// refusalWindow is the time after the last refusal in which refusals count as
// current. Callers retry within it.
const refusalWindow = 600 * time.Millisecond

// refusals counts writes that were refused because the replicas of their target
// are claimed. Such a target acknowledges no writes, so none is sent to it.
type refusals struct {
	mu          sync.Mutex
	first, last time.Time
	n           int
}

func (r *refusals) add(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.last) > refusalWindow {
		r.first, r.n = now, 0
	}
	r.last = now
	r.n++
}

// since returns the time for which writes have been refused, or zero when they
// are not.
func (r *refusals) since(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n < minUnanswered || now.Sub(r.last) > refusalWindow {
		return 0
	}
	return now.Sub(r.first)
}

// clear resets the refusals after a write was acknowledged.
func (r *refusals) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n, r.last = 0, time.Time{}
}
