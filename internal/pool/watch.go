package pool

import "time"

// A slot between VMs keeps one connection that no request gets, its watch. A
// fault on the path can find every connection in use, or requests can take the
// idle ones before their next probe; none is left to probe then, and requests
// waited on silent connections until their deadline (11 s seen). Slots of
// targets need none: the control connections report silence.

// reserve makes an idle connection the watch of the slot when it lacks one. The
// caller holds mu.
func (s *slot) reserve(c *Conn) bool {
	if s.cfg.Stateless && s.watch == nil && c.account == Full && s.cfg.Limit > 1 {
		s.watch = c
	}
	return s.watch == c
}

// probeWatch probes the watch when it was not heard for some time. The caller
// holds mu.
func (s *slot) probeWatch(now time.Time) {
	c := s.watch
	if c != nil && c.state == connIdle && now.Sub(c.lastHeard) >= probeAfter {
		c.state = connProbing
		s.pool.start(s.pool.probers, func() { s.probe(c, probeTimeout) })
	}
}

// spareFloor returns the number of connections kept open without demand.
func (s *slot) spareFloor(account Account) int {
	switch {
	case !s.cfg.Stateless:
		return warmFloor
	case account == ReadOnly:
		return 0 // connections between VMs have one account
	case s.cfg.Limit > 1:
		return warmFloor + 1
	default:
		return warmFloor
	}
}

// reserved returns the number of connections that no request gets.
func (s *slot) reserved(account Account) int {
	if s.watch != nil && account == s.watch.account {
		return 1
	}
	return 0
}
