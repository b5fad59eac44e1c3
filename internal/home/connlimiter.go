package home

import "time"

const (
	// minConnBackoff and maxConnBackoff limit the time to the next attempt
	// after a target refused a connection because of its connection limit. The
	// connections of a VM that crashed count against that limit for 3 s, those
	// of a former home for 1 s.
	minConnBackoff = 15 * time.Millisecond
	maxConnBackoff = 500 * time.Millisecond
)

// connLimiter limits the connections to a target that has refused one because
// of its connection limit, for instance while another VM also considers itself
// the home. Only one connection at a time is then attempted beyond those that
// are open.
type connLimiter struct {
	active  bool // a refusal limits the connections
	ceiling int  // connections that the target is assumed to accept
	retryAt time.Time
	backoff time.Duration
}

// limit returns the maximum number of open connections, at most maxOpen.
func (c *connLimiter) limit(now time.Time, maxOpen int) int {
	switch {
	case !c.active:
		return maxOpen
	case now.Before(c.retryAt):
		return min(maxOpen, c.ceiling)
	default:
		return min(maxOpen, c.ceiling+1)
	}
}

// refused records that a connection was refused while others were open.
func (c *connLimiter) refused(now time.Time, others int) {
	if !c.active || others < c.ceiling {
		c.ceiling = others
	}
	c.active = true
	c.backoff = min(max(2*c.backoff, minConnBackoff), maxConnBackoff)
	c.retryAt = now.Add(c.backoff)
}

// accepted records that a connection was opened, and how many are open now.
func (c *connLimiter) accepted(open, maxOpen int) {
	c.backoff = 0
	c.ceiling = max(c.ceiling, open)
	c.active = c.active && c.ceiling < maxOpen
}
