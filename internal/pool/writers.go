package pool

import "siskintray.example/siskin"

// PrimaryChanged closes the connections of the full account to the targets of a
// group, each when it is idle. A target that was demoted refuses writes on the
// connections that were open then, also after it has become the primary again.
func (p *Pool) PrimaryChanged(isMember func(siskin.TargetID) bool) {
	p.slots.Range(func(key Key, s *slot) bool {
		if isMember(key.Target) {
			s.retireWriters()
		}
		return true
	})
}

func (s *slot) retireWriters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writers++
	for len(s.idle[Full]) > 0 {
		s.removeLocked(s.idle[Full][0])
	}
	s.ensure()
}

// isStale reports whether a connection is to be closed in place of another use.
// The caller holds mu.
func (s *slot) isStale(c *Conn) bool {
	return c.generation != s.generation || (c.account == Full && c.writers != s.writers)
}
