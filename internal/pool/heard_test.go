package pool

import (
	"testing"
	"time"
)

// TestHeard guards against connections in use that do not count as waiting for
// their target, and idle ones that do: the group's probes follow from both.
func TestHeard(t *testing.T) {
	f := newFixture(t, 2)
	if waiting, _ := f.Heard(key); waiting {
		t.Error("waiting without a request: got true, want false")
	}
	begun := time.Now()
	c := f.get(t, Full, 1)
	waiting, last := f.Heard(key)
	if !waiting || last.Before(begun.Add(-time.Second)) {
		t.Errorf("with a request: got %v, %v, want true, a time after %v", waiting, last, begun)
	}
	c.Recycle(1)
	for waiting := true; waiting; waiting, _ = f.Heard(key) {
		if time.Since(begun) > 5*time.Second {
			t.Fatal("waiting after the request: got true, want false")
		}
		time.Sleep(time.Millisecond)
	}
	if waiting, last := f.Heard(Key{Target: "badges/9"}); waiting || !last.IsZero() {
		t.Errorf("slot of another VM: got %v, %v, want false and no time", waiting, last)
	}
}
