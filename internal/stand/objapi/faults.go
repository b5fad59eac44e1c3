package objapi

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Faults are the faults that the API address shows.
type Faults struct {
	// DelayMs delays each call before it takes effect.
	DelayMs int
	// Refuse closes each connection without an answer, as in an outage.
	Refuse bool
	// LoseNext is the number of updates whose answer is lost after the change
	// took effect.
	LoseNext int
	// LoseShare is the share of calls, 0 to 1, whose answer is lost after the
	// change took effect.
	LoseShare float64
	// Silent keeps calls without an answer until the caller gives up.
	Silent bool
}

type faultState struct {
	mu  sync.Mutex
	f   Faults
	rng *rand.Rand
}

func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.f
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f = f
}

func (s *faultState) loseAnswer(isUpdate bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isUpdate && s.f.LoseNext > 0 {
		s.f.LoseNext--
		return true
	}
	return s.f.LoseShare > 0 && s.rng.Float64() < s.f.LoseShare
}

// SetFaults replaces the present faults.
func (s *Server) SetFaults(f Faults) { s.faults.set(f) }

// Delay delays each call by d.
func (s *Server) Delay(d time.Duration) {
	f := s.faults.get()
	f.DelayMs = int(d / time.Millisecond)
	s.faults.set(f)
}

// Refuse starts or ends an outage.
func (s *Server) Refuse(on bool) {
	f := s.faults.get()
	f.Refuse = on
	s.faults.set(f)
}

// LoseNext loses the answers of the next n updates, which take effect.
func (s *Server) LoseNext(n int) {
	f := s.faults.get()
	f.LoseNext = n
	s.faults.set(f)
}

// Silent starts or ends a time in which no call is answered.
func (s *Server) Silent(on bool) {
	f := s.faults.get()
	f.Silent = on
	s.faults.set(f)
}

// SilenceOpen silences the connections that are open now for good. New
// connections work.
func (s *Server) SilenceOpen() { s.listener.silenceOpen() }
