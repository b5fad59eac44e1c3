package sysd

import (
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/roster"
)

// TestRunStart guards against an age of a run that depends on the clocks of
// two machines, with which a replica that has just started could confirm a
// primary. The start time of the entry counts only for runs in the first list
// of the VM, less a margin, and never for later ones.
func TestRunStart(t *testing.T) {
	n := &node{roster: roster.New()}
	now := n.clock.Now()
	info := func(id string, born time.Time) siskin.TargetInfo {
		return siskin.TargetInfo{ID: siskin.TargetID(id), Service: "s", StartedAt: born}
	}
	hour, ahead, none := time.Now().Add(-time.Hour), time.Now().Add(time.Hour), time.UnixMilli(0)
	first := now.Add(-5 * time.Second)
	n.roster.Replace([]siskin.TargetInfo{info("old", hour), info("ahead", ahead), info("unknown", none), info("again", hour)}, 1, first)
	n.roster.Replace([]siskin.TargetInfo{info("old", hour), info("ahead", ahead), info("unknown", none), info("again", hour.Add(time.Second)), info("new", hour)}, 2, now)
	for _, c := range []struct {
		id   siskin.TargetID
		want time.Duration // age
	}{
		{"old", time.Hour - clockMargin},
		{"ahead", 5 * time.Second},
		{"unknown", 5 * time.Second},
		{"again", 0},
		{"new", 0},
	} {
		since, listed, ok := n.runStart(c.id)
		if got := now.Sub(since); !ok || got < c.want-time.Second || got > c.want+time.Second || !listed.Equal(now) {
			t.Errorf("%s: got an age of %v, a list of %v and %v, want %v, %v and true", c.id, got, listed, ok, c.want, now)
		}
	}
	if _, _, ok := n.runStart("gone"); ok {
		t.Error("a target that is not listed: got a time, want none")
	}
}
