package pool

import "time"

// Activity returns since when the connection of the slot that is in use and quiet
// for longest is quiet, zero when none is in use, and when any connection was
// opened or last heard. A fault may silence old connections only, so that what
// was heard on others says nothing about the quiet one.
func (p *Pool) Activity(key Key) (quiet, last time.Time) {
	s, ok := p.slots.Get(key)
	if !ok {
		return time.Time{}, time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		heard := later(c.lastRead(), c.opened)
		last = later(last, heard)
		if since := later(heard, c.taken); c.state == connBusy && (quiet.IsZero() || since.Before(quiet)) {
			quiet = since
		}
	}
	return quiet, last
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
