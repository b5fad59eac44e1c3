package pool

import "siskintray.example/siskin"

// Retire closes the connections to a target that were opened before: idle ones
// at once, those in use when they are returned.
func (p *Pool) Retire(target siskin.TargetID) {
	p.slots.Range(func(key Key, s *slot) bool {
		if key.Target == target {
			s.retire()
		}
		return true
	})
}

func (s *slot) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation++ // openings in progress belong to the old one
	s.closeIdle()
	s.ensure()
}
