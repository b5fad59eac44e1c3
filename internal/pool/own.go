package pool

import "time"

// isOwnedWith reports whether the slot is owned with the same settings already.
func (s *slot) isOwnedWith(cfg SlotConfig) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.draining && s.cfg == cfg
}

// own starts or updates the ownership.
func (s *slot) own(cfg SlotConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = false
	if s.drained != nil {
		close(s.drained)
		s.drained = nil
	}
	if s.cfg != cfg {
		s.cfg = cfg
		s.generation++
		s.closeIdle()
		s.nextOpen = time.Time{}
	}
	s.openMissing()
}

// isReleased reports whether the slot was given up and all is closed.
func (s *slot) isReleased() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && s.size() == 0 && len(s.waiters) == 0
}
