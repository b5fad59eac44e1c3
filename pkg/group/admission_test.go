package group

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
)

// TestAdmitWriteHoldsForLaterTerm guards against a write that is sent to a
// primary although a later term, or a claim of one at a quorum, is known.
func TestAdmitWriteHoldsForLaterTerm(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []siskin.TargetStatus
		admit   bool
	}{
		{"no report", nil, true},
		{"one claim", []siskin.TargetStatus{{ID: "t/2", ClaimedTerm: 2, StreamTerm: 1}}, true},
		{"a quorum of claims", []siskin.TargetStatus{{ID: "t/2", ClaimedTerm: 2, StreamTerm: 1}, {ID: "t/3", ClaimedTerm: 2, StreamTerm: 1}}, false},
		{"a later stream", []siskin.TargetStatus{{ID: "t/2", ClaimedTerm: 2, StreamTerm: 2}}, false},
	} {
		set, _ := Settings{AckReplicas: 1, Members: []Member{{ID: "t/1"}, {ID: "t/2"}, {ID: "t/3"}}}.withDefaults()
		g := &Group{settings: set, tracker: newTracker(&set), clock: clockwork.NewRealClock(), writeDone: func() {}}
		g.ctx = t.Context()
		g.admission.Store(&admission{primary: "t/1", term: 1, changed: make(chan struct{})})
		for _, st := range c.reports {
			g.tracker.observe(st)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, _, _, err := g.AdmitWrite(ctx)
		cancel()
		if admitted := err == nil; admitted != c.admit || (!c.admit && siskin.KindOf(err) != siskin.NotRun) {
			t.Errorf("%s: got %v, want admission %v or not run", c.name, err, c.admit)
		}
	}
}
