package node

import (
	"testing"
	"time"
)

// TestProbeInterval guards against probes that outgrow the traffic a VM has for control,
// and against an interval that breaks the bound of a change of primary.
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
