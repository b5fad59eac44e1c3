package node

import (
	"testing"
	"time"
)

// TestProbeInterval guards against probes that exceed the bandwidth that a VM
// may use for control traffic, and against an interval so long that a change of
// primary exceeds its time bound.
func TestProbeInterval(t *testing.T) {
	for _, tt := range []struct {
		targets int
		want    time.Duration
	}{{0, 200 * time.Millisecond}, {9, 200 * time.Millisecond}, {18, 400 * time.Millisecond}, {45, time.Second}, {500, time.Second}} {
		if got := probeInterval(0, tt.targets); got != tt.want {
			t.Errorf("%d targets: got %v, want %v", tt.targets, got, tt.want)
		}
	}
}
