package pool

import (
	"testing"
	"time"
)

// TestActivity guards against connections in use that are not reported as
// quiet, and idle ones that are: the group sends its probes on the basis of
// both.
func TestActivity(t *testing.T) {
	f := newFixture(t, 2)
	if quiet, _ := f.Activity(key); !quiet.IsZero() {
		t.Errorf("without a request: got quiet since %v, want the zero time", quiet)
	}
	begun := time.Now()
	c := f.get(t, Full, 1)
	quiet, last := f.Activity(key)
	if quiet.Before(begun.Add(-time.Second)) || last.Before(begun.Add(-time.Second)) {
		t.Errorf("with a request: got %v, %v, want times after %v", quiet, last, begun)
	}
	time.Sleep(20 * time.Millisecond)
	other := f.get(t, Full, 2)
	if again, later := f.Activity(key); !again.Equal(quiet) || !later.After(last) {
		t.Errorf("with a younger connection: got %v, %v, want quiet since %v and last heard after %v", again, later, quiet, last)
	}
	other.Recycle(2)
	c.Recycle(1)
	for quiet := begun; !quiet.IsZero(); quiet, _ = f.Activity(key) {
		if time.Since(begun) > 5*time.Second {
			t.Fatal("after the requests: got a connection in use, want none")
		}
		time.Sleep(time.Millisecond)
	}
	if quiet, last := f.Activity(Key{Target: "badges/9"}); !quiet.IsZero() || !last.IsZero() {
		t.Errorf("slot of another VM: got %v, %v, want zero times", quiet, last)
	}
}
