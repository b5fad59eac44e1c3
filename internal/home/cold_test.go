package home

import (
	"context"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/platform/stand"
)

// coldRate admits a fixed number of statements to a cold target.
type coldRate struct {
	mu   sync.Mutex
	left int
	cold func(failed time.Time) bool
}

func (r *coldRate) mayBeCold(_ siskin.TargetInfo, _, failed time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cold(failed)
}

func (r *coldRate) admit(context.Context, siskin.ServiceName) siskin.Admission {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left == 0 {
		return siskin.Admission{RetryAfter: 30 * time.Millisecond}
	}
	r.left--
	return siskin.Admission{Admitted: true}
}

// TestColdTarget guards against a flood of statements at a cold target, also
// inside transactions, and against refused statements that wait for their whole
// timeout.
func TestColdTarget(t *testing.T) {
	f := start(t, stand.ServiceOptions{})
	rate := &coldRate{left: 3, cold: func(time.Time) bool { return true }}
	f.homes.cfg.MayBeCold, f.homes.cfg.AdmitCold = rate.mayBeCold, rate.admit
	target := f.target(0)
	open := request(target, siskin.Write, "x 1")
	open.Mode, open.Proof = Open, LeadProof
	first := f.run(open)
	if first.Outcome != Answered {
		t.Fatalf("first statement of a transaction: got %+v, want an answer", first)
	}
	for i, want := range []Outcome{Answered, Answered, NotSent} {
		req := request(target, siskin.Read, "x")
		req.AcquireTimeout = 50 * time.Millisecond
		began := time.Now()
		r := f.run(req)
		if r.Outcome != want || want == NotSent && (r.Cause != Overload || r.RetryAfter == 0) {
			t.Errorf("read %d: got %+v, want outcome %d", i, r, want)
		}
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("read %d: got an answer after %v, want less than 500ms", i, took)
		}
	}
	commit := request(target, siskin.Commit, "")
	commit.Mode, commit.Tx, commit.QueueTimeout = Continue, first.Tx, 50*time.Millisecond
	if r := f.run(commit); r.Outcome != NotSent || r.Cause != Overload {
		t.Errorf("commit beyond the rate: got %+v, want not sent", r)
	}
	if got := target.Statements(); got != 3 {
		t.Errorf("statements at the cold target: got %d, want 3", got)
	}
	if got := f.homes.Counts().Transactions; got != 0 {
		t.Errorf("open transactions: got %d, want none", got)
	}
}

// TestColdAfterReport guards against a flood at a restarted target from a home
// that had no connection to it, and learns only from a request that another
// home could not reach it. It also guards against a rate limit on connections
// that were opened before the report, which would last for as long as the other
// home is cut off from a running target.
func TestColdAfterReport(t *testing.T) {
	f := start(t, stand.ServiceOptions{})
	var warmUntil time.Time
	rate := &coldRate{cold: func(failed time.Time) bool { return failed.After(warmUntil) }}
	f.homes.cfg.MayBeCold, f.homes.cfg.AdmitCold = rate.mayBeCold, rate.admit
	read := func(i int) Reply {
		req := request(f.target(i), siskin.Read, "x")
		req.AcquireTimeout, req.Unreachable = 20*time.Millisecond, true
		return f.run(req)
	}
	if r := read(0); r.Outcome != NotSent || r.Cause != Overload {
		t.Errorf("read at a target that another home could not reach: got %+v, want a refusal for its rate", r)
	}
	if got := f.target(0).Statements(); got != 0 {
		t.Errorf("statements at a target that another home could not reach: got %d, want none", got)
	}
	unreported := request(f.target(0), siskin.Read, "x")
	unreported.AcquireTimeout = 20 * time.Millisecond
	if r := f.run(unreported); r.Cause != Overload {
		t.Errorf("read after a report: got %+v, want a refusal for its rate", r)
	}

	open := request(f.target(1), siskin.Read, "x")
	open.Mode, open.Proof = Open, FloorProof
	first := f.run(open)
	if first.Outcome != Answered {
		t.Fatalf("first statement of a transaction at a target without a report: got %+v, want an answer", first)
	}
	rate.mu.Lock()
	warmUntil = f.homes.cfg.Clock.Now()
	rate.mu.Unlock()
	if r := read(1); r.Cause != Overload {
		t.Errorf("read on a connection opened after a report: got %+v, want a refusal for its rate", r)
	}
	next := request(f.target(1), siskin.Read, "x")
	next.Mode, next.Tx = Continue, first.Tx
	if r := f.run(next); r.Outcome != Answered {
		t.Errorf("read on a connection opened before a report: got %+v, want an answer", r)
	}
}

// TestColdAfterFailure guards against a flood at a restarted target before
// service discovery lists the restart. The pool then only has the time of the
// last failure.
func TestColdAfterFailure(t *testing.T) {
	f := start(t, stand.ServiceOptions{})
	rate := &coldRate{cold: func(failed time.Time) bool { return !failed.IsZero() }}
	f.homes.cfg.MayBeCold, f.homes.cfg.AdmitCold = rate.mayBeCold, rate.admit
	target := f.target(0)
	read := func() Reply {
		req := request(target, siskin.Read, "x")
		req.AcquireTimeout = 20 * time.Millisecond
		return f.run(req)
	}
	if r := read(); r.Outcome != Answered {
		t.Fatalf("read at a target that never failed: got %+v, want an answer", r)
	}
	target.Crash()
	if err := target.Restart(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		r := read()
		if r.Outcome == Answered {
			t.Fatalf("read at a restarted target: got %+v, want a refusal", r)
		}
		if r.Cause == Overload {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("read at a restarted target: got %+v, want a refusal for its rate", r)
		}
	}
}
