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
	if s.cfg.Stateless && s.reservedConn == nil && c.account == Full && s.cfg.Limit > 1 {
		s.reservedConn = c
	}
	return s.reservedConn == c
}

// probeReserved probes the watch when it was not heard for some time. The caller
// holds mu.
func (s *slot) probeReserved(now time.Time) {
	c := s.reservedConn
	if c != nil && c.state == connIdle && now.Sub(c.lastHeardAt) >= probeAfter {
		c.state = connProbing
		s.pool.start(s.pool.probers, func() { s.probe(c, probeTimeout) })
	}
}

// minOpen returns the number of connections kept open without demand.
func (s *slot) minOpen(account Account) int {
	switch {
	case !s.cfg.Stateless:
		return minIdle
	case account == ReadOnly:
		return 0 // connections between VMs have one account
	case s.cfg.Limit > 1:
		return minIdle + 1
	default:
		return minIdle
	}
}

// reservedCount returns the number of connections that no request gets.
func (s *slot) reservedCount(account Account) int {
	if s.reservedConn != nil && account == s.reservedConn.account {
		return 1
	}
	return 0
}
