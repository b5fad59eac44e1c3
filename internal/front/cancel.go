package front

import "crypto/subtle"

// cancelRequest handles a cancel request of a caller, which may be for a
// session of another VM.
func (s *Server) cancelRequest(processID uint32, secret []byte) {
	s.Cancel(processID, secret)
	if s.cfg.PeerCanceler != nil {
		s.cfg.PeerCanceler.Cancel(processID, secret)
	}
}

// Cancel cancels the statement in progress of the session with the process id,
// if the session is on this VM and the secret matches. It reports whether there
// was a transaction in progress.
func (s *Server) Cancel(processID uint32, secret []byte) bool {
	if uint16(processID>>16) != VMHash(s.cfg.VM) {
		return false
	}
	c, ok := s.sessions.Get(uint16(processID))
	if !ok || subtle.ConstantTimeCompare(c.secret[:], secret) != 1 {
		return false
	}
	c.mu.Lock()
	executor := c.executor
	c.mu.Unlock()
	if executor != nil {
		executor.Cancel()
	}
	return executor != nil
}
