package front

import (
	"slices"
	"sync"
	"testing"

	"siskintray.example/siskin"
)

// recordingObserver records the observations that it receives.
type recordingObserver struct {
	mu           sync.Mutex
	observations []Observation
}

// ObserveTransaction implements Observer.
func (s *recordingObserver) ObserveTransaction(o Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observations = append(s.observations, o)
}

// take returns the observations since the last call.
func (s *recordingObserver) take() []Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.observations
	s.observations = nil
	return all
}

// TestObserveWithinRate guards against a refusal whose WithinRate flag is lost,
// in particular when another VM refuses the forwarded request.
func TestObserveWithinRate(t *testing.T) {
	observer := &recordingObserver{}
	f := startFleetWith(t, 2, nil, func(c *Config) { c.Observer = observer })
	f.firstOwnsAll.Store(true) // so that the second VM forwards
	f.limiter.refuse.Store(true)
	for i, vm := range f.vms {
		c := vm.connectRaw(t, "badges/write")
		var got []bool
		for _, within := range []bool{true, false, true} {
			f.limiter.within.Store(within)
			if a := c.query("select 1"); a.code() != "53400" {
				t.Fatalf("VM %d: got %+v, want a refusal by the rate limiter", i, a)
			}
			for _, o := range observer.take() {
				if !o.Failed || o.Kind != siskin.RateExceeded {
					t.Errorf("VM %d: got %+v, want a failure of kind RateExceeded", i, o)
				}
				got = append(got, o.WithinRate)
			}
		}
		if want := []bool{true, false, true}; !slices.Equal(got, want) {
			t.Errorf("VM %d: got within rate %v, want %v", i, got, want)
		}
	}
}
