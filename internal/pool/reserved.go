package pool

import "time"

// A slot for connections between VMs reserves one connection for probes, which
// is never leased to a request. Without it, a fault on the path could occur
// while every connection is in use, or requests could lease the idle ones
// before their next probe. No connection would be left to probe then, and
// requests waited on silent connections until their deadline (11 s observed).
// Slots of targets need no such connection, since the control connections
// detect silence.

// reserve reserves an idle connection for probes if the slot has none. It
// reports whether the connection is the reserved one. The caller holds mu.
func (s *slot) reserve(c *Conn) bool {
	if s.cfg.Stateless && s.reservedConn == nil && c.account == Full && s.cfg.Limit > 1 {
		s.reservedConn = c
	}
	return s.reservedConn == c
}

// probeReserved probes the reserved connection if no data was received on it
// for probeAfter. The caller holds mu.
func (s *slot) probeReserved(now time.Time) {
	c := s.reservedConn
	if c != nil && c.state == connIdle && now.Sub(c.lastHeardAt) >= probeAfter {
		c.state = connProbing
		s.pool.start(s.pool.probers, func() { s.probe(c, probeTimeout) })
	}
}

// minOpen returns the number of connections that are kept open without demand.
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

// reservedCount returns the number of connections that are never leased to a
// request.
func (s *slot) reservedCount(account Account) int {
	if s.reservedConn != nil && account == s.reservedConn.account {
		return 1
	}
	return 0
}
