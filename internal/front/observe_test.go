package front

import (
	"slices"
	"sync"
	"testing"

	"siskintray.example/siskin"
)

// seenBy keeps what an Observer is told.
type seenBy struct {
	mu   sync.Mutex
	seen []Observation
}

// ObserveTransaction implements Observer.
func (s *seenBy) ObserveTransaction(o Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, o)
}

// take returns what was seen since the last call.
func (s *seenBy) take() []Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.seen
	s.seen = nil
	return all
}

// TestObserveWithinRate guards against a refusal within the customer's rate
// that loses this mark, above all on the way from the home of another VM.
func TestObserveWithinRate(t *testing.T) {
	seen := &seenBy{}
	f := startFleetWith(t, 2, nil, func(c *Config) { c.Observer = seen })
	f.allAtFirst.Store(true) // the second VM forwards
	f.limiter.refuse.Store(true)
	for i, vm := range f.vms {
		c := vm.raw(t, "badges/write")
		var got []bool
		for _, within := range []bool{true, false, true} {
			f.limiter.within.Store(within)
			if a := c.query("select 1"); a.code() != "53400" {
				t.Fatalf("VM %d: got %+v, want a refusal by rate", i, a)
			}
			for _, o := range seen.take() {
				if !o.Failed || o.Kind != siskin.RateExceeded {
					t.Errorf("VM %d: got %+v, want a failure by rate", i, o)
				}
				got = append(got, o.WithinRate)
			}
		}
		if want := []bool{true, false, true}; !slices.Equal(got, want) {
			t.Errorf("VM %d: got within rate %v, want %v", i, got, want)
		}
	}
}
