package pool

import "time"

// Heard reports whether a connection of the slot is in use and when any of its
// connections was opened or last heard. Without connections the time is zero.
func (p *Pool) Heard(key Key) (waiting bool, last time.Time) {
	s, ok := p.slots.Get(key)
	if !ok {
		return false, time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		waiting = waiting || c.state == connBusy
		if heard := c.lastRead(); heard.After(last) {
			last = heard
		}
		if c.opened.After(last) {
			last = c.opened
		}
	}
	return waiting, last
}
