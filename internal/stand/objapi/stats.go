package objapi

import (
	"maps"
	"sync"
)

// Stats counts the calls to the API address.
type Stats struct {
	// Calls counts the calls by kind: Get, List, Put, Watch and VMs. Calls over
	// budget are included.
	Calls map[string]int64
	// OverBudget counts the calls that got status 429.
	OverBudget int64
	// Waiting is the number of watches that wait now, MaxWaiting its maximum.
	Waiting, MaxWaiting int
}

// Total returns the number of calls of all kinds.
func (s Stats) Total() int64 {
	var n int64
	for _, c := range s.Calls {
		n += c
	}
	return n
}

type counters struct {
	mu sync.Mutex
	s  Stats
}

func (c *counters) call(kind string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.s.Calls[kind]++
	if !ok {
		c.s.OverBudget++
	}
}

func (c *counters) startWait(limit int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.s.Waiting >= limit {
		return false
	}
	c.s.Waiting++
	c.s.MaxWaiting = max(c.s.MaxWaiting, c.s.Waiting)
	return true
}

func (c *counters) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.s.Waiting--
}

func (c *counters) snapshot() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.s
	s.Calls = maps.Clone(c.s.Calls)
	return s
}
