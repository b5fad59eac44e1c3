package pool

import "siskintray.example/siskin"

// RetireWriters closes the connections of the Full account to a target that
// were opened before the call: idle ones immediately, those in use when they
// are returned. A target that was demoted refuses writes on the connections
// that were open at that time, even after it has become the primary again.
func (p *Pool) RetireWriters(target siskin.TargetID) {
	p.slots.Range(func(key Key, s *slot) bool {
		if key.Target == target {
			s.retireWriters()
		}
		return true
	})
}

func (s *slot) retireWriters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writerGeneration++ // connections that are being opened count as old
	for len(s.idle[Full]) > 0 {
		s.removeLocked(s.idle[Full][0])
	}
	s.openMissing()
}

// isStale reports whether a connection must be closed instead of reused. The
// caller holds mu.
func (s *slot) isStale(c *Conn) bool {
	return c.generation != s.generation || (c.account == Full && c.writerGeneration != s.writerGeneration)
}
