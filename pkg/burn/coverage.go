package burn

import (
	"sync"
	"sync/atomic"
	"time"
)

// coverage records in which fine buckets the VM ran. It is lost by a restart and
// not marked during a pause, so both are reported as missing coverage.
type coverage struct {
	latest atomic.Int64 // number of the newest marked bucket, read without the lock
	mu     sync.Mutex
	ring   ring[bool]
}

func newCoverage() *coverage {
	return &coverage{ring: newRing[bool](fineWidth, int(longestWindow/fineWidth))}
}

// mark records that the VM is running at the time now.
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

// covered returns how long the VM ran in the window, and the intervals after
// since in which it did not run.
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
