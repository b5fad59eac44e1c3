package entry

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/memory"
)

// chargeTo charges the messages of the session to its customer.
func (s *Session) chargeTo(customer siskin.CustomerID) {
	if c, ok := s.c.(siskin.ChargedConn); ok {
		c.SetCustomer(customer)
	}
}

// chargeState reserves the values and prepared statements of the session above
// memory.FreeSize, and reports whether there is room.
func (s *Session) chargeState(size siskin.Bytes) bool {
	more := int(size) - memory.FreeSize - s.stateMemory.Held()
	if more <= 0 {
		return true // what was dropped is given back at the end
	}
	if s.stateMemory.Held() == 0 {
		s.stateMemory.Move(s.e.cfg.Memory.Sessions())
	}
	return s.stateMemory.Take(more)
}
