package home

import (
	"strings"
	"testing"

	"siskintray.example/siskin"
	"siskintray.example/siskin/platform/stand"
)

// TestLongStatement guards against a statement that is within the limit of a
// caller's message and above that of the target's, which counts as a failure of
// the target and closes the connections of all customers.
func TestLongStatement(t *testing.T) {
	f := start(t, stand.ServiceOptions{})
	target := f.target(0)
	other := request(target, siskin.Read, "x")
	other.Customer = "beta"
	if got := f.run(other); got.Outcome != Answered {
		t.Fatalf("read of another customer: got %+v, want an answer", got)
	}
	read := request(target, siskin.Read, strings.Repeat("x", 1<<20-len("QUERY 1 READ ")))
	read.Proof, read.Floor = FloorProof, siskin.Position{Term: 1, LSN: 1}
	got := f.run(read)
	t.Logf("long read: %v %v %v", got.Outcome, got.Cause, got.Answer.Code)
	l, _ := f.homes.pools.Get(target.ID())
	open, _, opened := l.counts()
	if f.run(other); got.Cause == Unreachable {
		t.Errorf("after a read too long to be sent: cause %v, %d connections open of %d, want no failure of the target", got.Cause, open, opened)
	}
	if _, _, again := l.counts(); again != opened {
		t.Errorf("connections opened for the other customer: got %d more, want 0", again-opened)
	}
}
