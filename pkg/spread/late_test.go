package spread

import (
	"context"
	"testing"

	"siskintray.example/siskin"
)

// holdsBack reports whether an update of the head is held back. An update that
// was held back before takes effect now.
func (n *node) holdsBack(update func()) bool {
	late := n.late
	n.late = nil
	held := n.lateHead.Swap(false)
	if held {
		n.late = update
	}
	if late != nil {
		late()
	}
	return held
}

// TestLateHead guards against a configuration that no VM can read anymore: the
// answer to an update of the head is lost, the same VM writes its next change,
// and only then the first update takes effect.
func TestLateHead(t *testing.T) {
	_, _, all := fleet(t, 3)
	base := must(t, all[0], set("op-1", "s", "one"))
	inForce(t, all, base, limit)
	all[0].lateHead.Store(true)
	apply := func(service string) (siskin.Revision, error) {
		c := set("", service, "v")
		return all[0].Spread.Apply(context.Background(), &c.Change)
	}
	if _, err := apply("lost"); siskin.KindOf(err) != siskin.OutcomeUnknown {
		t.Fatalf("change with a lost answer: got %v, want OutcomeUnknown", err)
	}
	rev, err := apply("next")
	if err != nil || rev != base+2 {
		t.Fatalf("next change: got revision %d (%v), want %d", rev, err, base+2)
	}
	inForce(t, all, rev, limit)
	for _, n := range all {
		if value(n, "lost") != "v" {
			t.Errorf("%s: lacks the change that took effect late", n.vm.ID)
		}
	}
}

// TestLateHeadOfRepetition guards against an operator who is told that a change
// was refused although it is in force: its first attempt takes effect while the
// second one has read the head from before.
func TestLateHeadOfRepetition(t *testing.T) {
	_, _, all := fleet(t, 3)
	inForce(t, all, must(t, all[0], set("op-1", "s", "one")), limit)
	all[0].lateHead.Store(true)
	c := set("op-2", "s", "two")
	if _, err := all[0].Apply(within(limit), c); siskin.KindOf(err) != siskin.OutcomeUnknown {
		t.Fatalf("first attempt: got %v, want OutcomeUnknown", err)
	}
	takeEffect := func() {
		all[0].late()
		inForce(t, all, 2, limit)
	}
	all[1].headRead.Store(&takeEffect)
	if rev, err := all[1].Apply(within(limit), c); err != nil || rev != 2 {
		t.Errorf("second attempt: got revision %d (%v), want 2", rev, err)
	}
}
