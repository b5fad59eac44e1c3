package burn

import (
	"sync"
	"sync/atomic"
	"time"
)

// coverage knows in which fine buckets the VM ran. It survives neither a
// restart nor a pause, so both show as missing coverage.
type coverage struct {
	latest atomic.Int64 // newest bucket marked, for a check without the lock
	mu     sync.Mutex
	ring   ring[bool]
}

func newCoverage() *coverage {
	return &coverage{ring: newRing[bool](fineWidth, int(longestWindow/fineWidth))}
}

// mark records that the VM runs now.
func (c *coverage) mark(now time.Time) {
	n := now.UnixNano() / int64(fineWidth)
	if c.latest.Load() >= n {
		return
	}
	c.mu.Lock()
	*c.ring.at(now) = true
	c.mu.Unlock()
	c.latest.Store(n)
}

// covered returns the time of the window in which the VM ran, and the stretches
// after since in which it did not.
func (c *coverage) covered(now time.Time, window time.Duration, since time.Time) (sum time.Duration, down []Interval) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := since
	if first := now.Truncate(fineWidth).Add(fineWidth - window); first.After(end) {
		end = first
	}
	c.ring.each(now, window, func(start time.Time, _ *bool) {
		sum += fineWidth
		if start.After(end) {
			down = append(down, Interval{end.UTC(), start.UTC()})
		}
		end = start.Add(fineWidth)
	})
	return sum, down
}
