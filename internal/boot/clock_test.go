package boot

import (
	"testing"
	"time"
)

// TestClock guards against a clock that does not advance or that returns the
// wall clock time.
func TestClock(t *testing.T) {
	c := Clock{}
	start := c.Now()
	c.Sleep(20 * time.Millisecond)
	<-c.After(20 * time.Millisecond)
	if got := c.Since(start); got < 40*time.Millisecond || got > 5*time.Second {
		t.Errorf("elapsed time: got %v, want 40ms and little more", got)
	}
	if c.Now().After(time.Now()) {
		t.Error("time since boot: got a time after the wall clock time")
	}
}
