package pool

import "time"

// Activity returns quietSince, the earliest time since which a connection in
// use has received nothing, or zero if none is in use. It also returns
// lastHeardAt, when any connection of the slot was last opened or received
// data. A fault may affect old connections only, so data received on other
// connections is no evidence for a quiet one.
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
