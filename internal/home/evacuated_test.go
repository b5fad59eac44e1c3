package home

import (
	"sync/atomic"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/platform/stand"
)

// startEvacuable returns a fixture, and a flag that closes all targets to
// statements.
func startEvacuable(t *testing.T, o stand.ServiceOptions) (*fixture, *atomic.Bool) {
	t.Helper()
	f := start(t, o)
	var closed atomic.Bool
	f.homes.cfg.Closed = func(siskin.TargetID) bool { return closed.Load() }
	return f, &closed
}

// TestEvacuated guards against statements that reach a target in an evacuated
// data centre: new ones, and those that were queued when the evacuation began.
func TestEvacuated(t *testing.T) {
	f, closed := startEvacuable(t, stand.ServiceOptions{Slots: 1, StatementTime: 200 * time.Millisecond})
	target := f.target(0)
	replies := make(chan Reply)
	const running = 1 + spareRunning
	for range running + 1 {
		go func() { replies <- f.run(request(target, siskin.Read, "x")) }()
	}
	for deadline := time.Now().Add(time.Second); f.homes.Counts().Waiting == 0 || len(target.Arrivals("acme")) < running; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no statement is queued behind %d that were sent", running)
		}
	}
	closed.Store(true)
	answered := 0
	for range running + 1 {
		switch r := <-replies; {
		case r.Outcome == Answered:
			answered++
		case r.Outcome != NotSent || r.Cause != Evacuated:
			t.Errorf("statement that waited: got outcome %d for %v, want not sent for Evacuated", r.Outcome, r.Cause)
		}
	}
	if answered != running {
		t.Errorf("statements answered that were sent before: got %d, want %d", answered, running)
	}
	before := target.Statements()
	write := request(target, siskin.Write, "x 1")
	proven := request(target, siskin.Read, "x")
	proven.Proof = LeadProof
	open := request(target, siskin.Read, "x")
	open.Mode = Open
	for _, req := range []*Request{write, proven, open} {
		if r := f.run(req); r.Outcome != NotSent || r.Cause != Evacuated {
			t.Errorf("%v at an evacuated target: got outcome %d for %v, want not sent for Evacuated", req.Statement.Kind, r.Outcome, r.Cause)
		}
	}
	if got := target.Statements() - before; got != 0 {
		t.Errorf("statements at an evacuated target: got %d, want none", got)
	}
	closed.Store(false)
	if r := f.run(write); r.Outcome != Answered || r.Answer.Code != siskin.Succeeded {
		t.Errorf("write after the evacuation: got %+v, want success", r)
	}
}

// TestEvacuatedTransaction guards against a commit that reaches a target in an
// evacuated data centre, and against a transaction that stays open there.
func TestEvacuatedTransaction(t *testing.T) {
	f, closed := startEvacuable(t, stand.ServiceOptions{})
	target := f.target(0)
	open := request(target, siskin.Write, "x 1")
	open.Mode, open.Proof = Open, LeadProof
	first := f.run(open)
	if first.Outcome != Answered || first.Answer.Code != siskin.Succeeded {
		t.Fatalf("write in a transaction: got %+v, want success", first)
	}
	closed.Store(true)
	commit := request(target, siskin.Commit, "")
	commit.Mode, commit.Tx = Continue, first.Tx
	if r := f.run(commit); r.Outcome != NotSent || r.Cause != Evacuated {
		t.Errorf("commit at an evacuated target: got %+v, want not sent for Evacuated", r)
	}
	if got := f.homes.Counts().Transactions; got != 0 {
		t.Errorf("open transactions: got %d, want none", got)
	}
	closed.Store(false)
	if r := f.run(leadRead(target)); r.Outcome != Answered || len(r.Answer.Rows) != 1 || r.Answer.Rows[0] != "-" {
		t.Errorf("read after the transaction was rolled back: got %+v, want no value", r)
	}
}
