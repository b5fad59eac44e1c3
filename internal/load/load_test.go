package load

import (
	"testing"
	"time"

	"siskintray.example/siskin"
)

// at returns acknowledged requests of 1 ms at the given milliseconds.
func at(ms ...int) []Event {
	var events []Event
	for _, m := range ms {
		sent := time.Duration(m) * time.Millisecond
		events = append(events, Event{Operation: Write, Outcome: Acknowledged, Sent: sent, Ended: sent + time.Millisecond})
	}
	return events
}

// TestOvershootFindsBreaches guards against a checker that passes a fleet that
// admits more than rate x time + burst, in a short window or a long one.
func TestOvershootFindsBreaches(t *testing.T) {
	tests := []struct {
		name   string
		events []Event
		breach bool
	}{
		{"within the burst", at(0, 1, 2), false},
		{"burst twice", at(0, 1, 2, 3, 4, 5), true},
		{"at the rate after the burst", at(0, 1, 2, 102, 202, 302), false},
		{"above the rate for long", at(0, 1, 2, 60, 120, 180, 240, 300, 360), true},
	}
	for _, tt := range tests {
		got := Overshoot(tt.events, 10, 3) > 0
		if got != tt.breach {
			t.Errorf("%s: got breach %v, want %v", tt.name, got, tt.breach)
		}
	}
}

// TestRefusedWithinRate guards against a measure that counts refusals of
// requests that were over the rate.
func TestRefusedWithinRate(t *testing.T) {
	events := at(0, 1, 2, 3, 500)
	refused := Outcome(siskin.RateExceeded.String())
	events[3].Outcome = refused // over the burst of 3
	events[4].Outcome = refused // within: the bucket has refilled
	got, within := RefusedWithinRate(events, 10, 3)
	if want := 1; got != want {
		t.Errorf("refused: got %d, want %d", got, want)
	}
	if want := 4; within != want {
		t.Errorf("within: got %d, want %d", within, want)
	}
}

// TestWriteGap guards against a gap that leaves out the stall after a fault.
func TestWriteGap(t *testing.T) {
	got, ok := WriteGap(at(0, 10, 20, 900, 910), 15*time.Millisecond)
	if want := 880 * time.Millisecond; !ok || got != want {
		t.Errorf("gap: got %v, %v, want %v", got, ok, want)
	}
}
