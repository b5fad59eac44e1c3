package views

import (
	"testing"
	"time"

	"siskintray.example/siskin"
)

var origin = time.Unix(1000, 0)

func at(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

func proof(id siskin.TargetID, lsn siskin.LSN, ms int) PrimaryProof {
	return PrimaryProof{Target: id, Position: siskin.Position{Term: 1, LSN: lsn}, At: at(ms)}
}

// TestProofs guards against an older proof that replaces a newer one, and
// against a target that stays the primary after it denied being one.
func TestProofs(t *testing.T) {
	targets := []siskin.TargetInfo{{ID: "a", Primary: true}, {ID: "b"}, {ID: "c"}}
	v := New()
	if got := v.Primary("s", targets); got != "a" {
		t.Errorf("without a proof: got %q, want a, as listed", got)
	}
	v.RecordDenial("s", "a", at(0))
	if got := v.Primary("s", targets); got != "" {
		t.Errorf("after a denial of a: got %q, want none", got)
	}
	v.ClearDenial("s", "a")
	if got := v.Primary("s", targets); got != "a" {
		t.Errorf("after discovery reports it again: got %q, want a", got)
	}
	v.RecordProof("s", proof("b", 7, 100))
	v.RecordProof("s", proof("a", 5, 50))
	if got := v.Primary("s", targets); got != "b" {
		t.Errorf("after an older proof: got %q, want b", got)
	}
	v.RecordDenial("s", "b", at(200))
	if got := v.Primary("s", targets); got != "a" {
		t.Errorf("after a denial: got %q, want a, as listed", got)
	}
	// This proof is older than that of b, but b has denied being the primary
	// since.
	v.RecordProof("s", proof("c", 9, 90))
	if got := v.Primary("s", targets); got != "c" {
		t.Errorf("after a denial and an older proof of another target: got %q, want c", got)
	}
	if got := v.Primary("s", targets[:2]); got != "a" {
		t.Errorf("after the primary is gone: got %q, want a, as listed", got)
	}
}

// TestLatestProof guards against a position that is combined with the time of a
// later proof, for instance of one that has no position. The position may then
// lack commits that were acknowledged before that time.
func TestLatestProof(t *testing.T) {
	v := New()
	v.RecordProof("s", proof("a", 7, 100))
	v.RecordProof("s", PrimaryProof{Target: "a", At: at(200)})
	if got, want := v.LatestProof("s"), (PrimaryProof{Target: "a", At: at(200)}); got != want {
		t.Errorf("proof without a position: got %+v, want %+v", got, want)
	}
	v.RecordProof("s", proof("a", 8, 300))
	v.RecordProof("s", proof("a", 7, 250))
	if got, want := v.LatestProof("s"), proof("a", 8, 300); got != want {
		t.Errorf("older proof: got %+v, want %+v", got, want)
	}
}

// TestChangeInProgress guards against requests that are refused after a change
// of primary has ended, or sent to a primary that is being replaced.
func TestChangeInProgress(t *testing.T) {
	v := New()
	v.RecordProof("s", proof("a", 1, 0))
	v.BeginChange("s", "a", at(1000))
	if !v.ChangeInProgress("s", at(500)) || v.ChangeInProgress("s", at(1000)) {
		t.Error("change in progress: got false before its end or true after it, want the opposite")
	}
	v.RecordProof("s", proof("b", 2, 600))
	if v.ChangeInProgress("s", at(700)) {
		t.Error("got a change in progress after another target became the primary, want none")
	}
	v.BeginChange("s", "a", at(2000))
	if v.ChangeInProgress("s", at(800)) {
		t.Error("got a change away from a former primary, want none")
	}
	v.BeginChange("s", "b", at(2000))
	if v.EndChange("s", "a"); !v.ChangeInProgress("s", at(800)) {
		t.Error("got no change in progress after the end of an earlier one, want one")
	}
	if v.EndChange("s", "b"); v.ChangeInProgress("s", at(800)) {
		t.Error("got a change in progress after its end, want none")
	}
}
