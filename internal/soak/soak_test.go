package soak

import (
	"slices"
	"testing"
	"time"
)

// TestEach guards against a soak run that ends early or repeats one seed.
func TestEach(t *testing.T) {
	t.Setenv(durationEnv, "20ms")
	t.Setenv(seedEnv, "7")
	var seeds []uint64
	start := time.Now()
	Each(t, func(_ *testing.T, seed uint64) {
		seeds = append(seeds, seed)
		time.Sleep(8 * time.Millisecond)
	})
	if got, want := time.Since(start), 20*time.Millisecond; got < want {
		t.Errorf("got a run of %v, want at least %v", got, want)
	}
	if len(seeds) < 2 || !slices.Equal(seeds[:2], []uint64{7, 8}) {
		t.Errorf("got seeds %v, want 7, 8 and so on", seeds)
	}
}

// TestVariables guards against a malformed duration that is ignored, so that a
// short run passes for a long one.
func TestVariables(t *testing.T) {
	t.Setenv(durationEnv, "10")
	defer func() {
		if recover() == nil {
			t.Error("got no panic for a duration without a unit, want one")
		}
	}()
	RunDuration(time.Second)
}
