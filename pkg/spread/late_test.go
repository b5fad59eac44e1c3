package spread

import (
	"context"
	"testing"

	"siskintray.example/siskin"
)

// delaysHead reports whether an update of the head is delayed. It executes an
// update that was delayed before.
func (n *node) delaysHead(update func()) bool {
	delayedUpdate := n.delayedUpdate
	n.delayedUpdate = nil
	delayed := n.delayHead.Swap(false)
	if delayed {
		n.delayedUpdate = update
	}
	if delayedUpdate != nil {
		delayedUpdate()
	}
	return delayed
}

// TestLateHead guards against a head that no VM can load anymore: the response
// to an update of the head is lost, and the update takes effect only after the
// same VM has written its next change.
func TestLateHead(t *testing.T) {
	_, _, all := startFleet(t, 3)
	base := mustApply(t, all[0], setTarget("op-1", "s", "one"))
	waitForRevision(t, all, base, maxSpreadTime)
	all[0].delayHead.Store(true)
	apply := func(service string) (siskin.Revision, error) {
		c := setTarget("", service, "v")
		return all[0].Spread.Apply(context.Background(), &c.Change)
	}
	if _, err := apply("lost"); siskin.KindOf(err) != siskin.OutcomeUnknown {
		t.Fatalf("change with a lost response: got %v, want OutcomeUnknown", err)
	}
	rev, err := apply("next")
	if err != nil || rev != base+2 {
		t.Fatalf("next change: got revision %d (%v), want %d", rev, err, base+2)
	}
	waitForRevision(t, all, rev, maxSpreadTime)
	for _, n := range all {
		if targetAddress(n, "lost") != "v" {
			t.Errorf("%s: lacks the change that took effect late", n.vm.ID)
		}
	}
}

// TestLateHeadOfRepetition guards against a change that is reported as refused
// although it is in force: its first attempt takes effect after the second one
// has read the head.
func TestLateHeadOfRepetition(t *testing.T) {
	_, _, all := startFleet(t, 3)
	waitForRevision(t, all, mustApply(t, all[0], setTarget("op-1", "s", "one")), maxSpreadTime)
	all[0].delayHead.Store(true)
	c := setTarget("op-2", "s", "two")
	if _, err := all[0].Apply(withTimeout(maxSpreadTime), c); siskin.KindOf(err) != siskin.OutcomeUnknown {
		t.Fatalf("first attempt: got %v, want OutcomeUnknown", err)
	}
	takeEffect := func() {
		all[0].delayedUpdate()
		waitForRevision(t, all, 2, maxSpreadTime)
	}
	all[1].afterHeadRead.Store(&takeEffect)
	if rev, err := all[1].Apply(withTimeout(maxSpreadTime), c); err != nil || rev != 2 {
		t.Errorf("second attempt: got revision %d (%v), want 2", rev, err)
	}
}
