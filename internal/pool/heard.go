package pool

import "time"

// Activity returns since when the connection of the slot that is in use and quiet
// for longest is quiet, zero when none is in use, and when any connection was
// opened or last heard. A fault may silence old connections only, so that what
// was heard on others says nothing about the quiet one.
func (p *Pool) Activity(key Key) (quietSince, lastHeardAt time.Time) {
	s, ok := p.slots.Get(key)
	if !ok {
		return time.Time{}, time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		heardAt := later(c.lastRead(), c.openedAt)
		lastHeardAt = later(lastHeardAt, heardAt)
		if since := later(heardAt, c.leasedAt); c.state == connBusy && (quietSince.IsZero() || since.Before(quietSince)) {
			quietSince = since
		}
	}
	return quietSince, lastHeardAt
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
