package peer

// Stats are the counters of a Client or Server since its start.
type Stats struct {
	// Methods holds the counts by method.
	Methods map[string]MethodStats
	// Unresponsive is the number of connections closed as unresponsive.
	Unresponsive int64
	// Refused is the number of requests refused because the pool was full.
	Refused int64
	// Connections is the number of open connections.
	Connections int
}

// Total returns the sum over all methods.
func (s Stats) Total() MethodStats {
	var t MethodStats
	for _, m := range s.Methods {
		t.Sent += m.Sent
		t.Received += m.Received
		t.SentBytes += m.SentBytes
		t.ReceivedBytes += m.ReceivedBytes
	}
	return t
}

// Stats returns the current counters.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{Methods: c.counters.snapshot(), Unresponsive: c.unresponsive.Load(), Connections: len(c.entries)}
}

// Stats returns the current counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Methods: s.counters.snapshot(), Refused: s.refused.Load(), Connections: len(s.conns)}
}
