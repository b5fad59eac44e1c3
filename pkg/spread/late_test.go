package spread

import (
	"context"
	"testing"

	"siskintray.example/siskin"
)

// holdsBack reports whether an update of the head is held back. An update that
// was held back before takes effect now.
func (w *world) holdsBack(update func()) bool {
	w.mu.Lock()
	held, late := w.lateHead, w.late
	w.lateHead, w.late = false, nil
	if held {
		w.late = update
	}
	w.mu.Unlock()
	if late != nil {
		late()
	}
	return held
}

// TestLateHead guards against a configuration that no VM can read anymore: the
// answer to an update of the head is lost, the same VM writes its next change,
// and only then the first update takes effect.
func TestLateHead(t *testing.T) {
	failOnViolation(t)
	w := newWorld(t, "a", "a", "b")
	base := w.apply(t, "vm-0", "c", 1)
	w.awaitAll(t, base, maxSpread)
	w.mu.Lock()
	w.lateHead = true
	w.mu.Unlock()
	v := w.vms["vm-0"]
	if _, err := v.Apply(context.Background(), customer(0, "lost", 2)); siskin.KindOf(err) != siskin.OutcomeUnknown {
		t.Fatalf("change with a lost answer: got %v, want OutcomeUnknown", err)
	}
	revision, err := v.Apply(context.Background(), customer(0, "next", 3))
	if err != nil || revision != base+2 {
		t.Fatalf("next change: got revision %d (%v), want %d", revision, err, base+2)
	}
	w.awaitAll(t, revision, maxSpread)
	for id, v := range w.vms {
		if _, ok := v.Customer("lost"); !ok {
			t.Errorf("%s: lacks the change that took effect late", id)
		}
	}
}
