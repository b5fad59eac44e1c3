package relay

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
)

// TestObserve guards against a leaving target whose leaving time restarts after
// it was unreachable for a while, and against entries that remain after no
// target is leaving.
func TestObserve(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := (&Home{Clock: clock}).Init()
	observe := func(leaving, reachable bool) {
		h.Observe("s", &siskin.GroupView{Targets: []siskin.TargetView{
			{Status: siskin.TargetStatus{ID: "s/1", Leaving: leaving}, Reachable: reachable}, {Status: siskin.TargetStatus{ID: "s/2"}, Reachable: true},
		}})
		clock.Advance(time.Second)
	}
	for i, step := range []struct {
		leaving, reachable bool
		want               time.Duration
	}{
		{false, true, 0},
		{true, true, time.Second},
		{false, false, 2 * time.Second},
		{true, true, 3 * time.Second},
		{false, true, 0},
		{true, true, time.Second},
	} {
		observe(step.leaving, step.reachable)
		if got := h.leavingFor("s", "s/1"); got != step.want {
			t.Errorf("step %d: got %v, want %v", i, got, step.want)
		}
		if got := h.leavingFor("s", "s/2"); got != 0 {
			t.Errorf("step %d: got %v for a target that is not leaving, want 0", i, got)
		}
	}
	h.Observe("s", &siskin.GroupView{})
	if got := h.leavingTargets.serviceCount.Load() + int64(h.leavingTargets.since.Len()); got != 0 {
		t.Errorf("got %d entries after the service is no longer watched, want 0", got)
	}
}
