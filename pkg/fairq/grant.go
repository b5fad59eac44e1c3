package fairq

// Grant is the permission to run one request. The zero value grants nothing.
type Grant struct {
	q   *Queue
	t   *ticket
	gen uint64
}

// Release frees the place and charges the customer for the time since the
// request started. A second call has no effect.
func (g Grant) Release() {
	if g.q == nil {
		return
	}
	now := g.q.clock.Now().Sub(g.q.origin)
	g.q.mu.Lock()
	defer g.q.mu.Unlock()
	if g.t.gen == g.gen && g.t.state == ticketRunning {
		g.q.s.leave(now, g.t)
	}
}
