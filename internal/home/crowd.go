package home

import "time"

const (
	// minConnBackoff and maxCrowdPause bound the time to the next attempt after a
	// target refused a connection as one too many. The connections of a VM that
	// vanished count for 3 s, those of a home that gave a target up for one.
	minConnBackoff = 15 * time.Millisecond
	maxConnBackoff = 500 * time.Millisecond
)

// connLimiter bounds the connections to a target that has refused one as one too
// many, such as while another VM takes itself for the home as well. Only one
// connection at a time is then tried beyond those that are open.
type connLimiter struct {
	active  bool
	ceiling int
	retryAt time.Time
	backoff time.Duration
}

// limit returns the most open connections.
func (c *connLimiter) limit(now time.Time, most int) int {
	switch {
	case !c.active:
		return most
	case now.Before(c.retryAt):
		return min(most, c.ceiling)
	default:
		return min(most, c.ceiling+1)
	}
}

// refused notes that a connection was refused while others were open.
func (c *connLimiter) refused(now time.Time, others int) {
	if !c.active || others < c.ceiling {
		c.ceiling = others
	}
	c.active = true
	c.backoff = min(max(2*c.backoff, minConnBackoff), maxConnBackoff)
	c.retryAt = now.Add(c.backoff)
}

// accepted notes that a connection was opened, and how many are now.
func (c *connLimiter) accepted(open, most int) {
	c.backoff = 0
	c.ceiling = max(c.ceiling, open)
	c.active = c.active && c.ceiling < most
}
