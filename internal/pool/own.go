package pool

import "time"

// isOwnedWith reports whether the slot is owned with the same settings.
func (s *slot) isOwnedWith(cfg SlotConfig) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.draining && s.cfg == cfg
}

// own starts or updates the ownership of the slot.
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

// isReleased reports whether the slot is no longer owned and has no connections
// or waiters left.
func (s *slot) isReleased() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining && s.size() == 0 && len(s.waiters) == 0
}
