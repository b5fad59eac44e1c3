package home

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
	"siskintray.example/siskin/platform/stand"
)

// drainReplica makes service discovery list targets as draining, and returns the
// number of times that departures were covered.
func (f *fixture) drainReplica(draining ...*stand.Target) *atomic.Int64 {
	cfg := f.homes.cfg.LeaseConfig
	targets := cfg.Targets
	cfg.Targets = func(name siskin.ServiceName) []siskin.TargetInfo {
		list := slices.Clone(targets(name))
		for i := range list {
			list[i].Draining = slices.ContainsFunc(draining, func(t *stand.Target) bool { return t.ID() == list[i].ID })
		}
		return list
	}
	var covered atomic.Int64
	cfg.Covered = func(siskin.ServiceName, siskin.TargetID, time.Time) { covered.Add(1) }
	return &covered
}

// TestCommitThroughLeavingReplica guards against commits that are reported as
// successful although only a replica that is about to leave has received them:
// its log ends with it, and a change of primary loses them.
func TestCommitThroughLeavingReplica(t *testing.T) {
	for name, start := range map[string]func(*testing.T) *fixture{"without fencing": unfenced, "with fencing": fenced} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			primary, leaving, staying := f.target(0), f.target(1), f.target(2)
			covered := f.drainReplica(leaving)
			f.expectWriteSuccess(primary)
			if got := covered.Load(); got == 0 {
				t.Error("departures covered by a commit that a staying replica has: got 0, want 1")
			}
			staying.SetReceiveBlocked(true)
			open := request(primary, siskin.Write, "y 1")
			open.Mode = Open
			tx := f.run(open)
			if tx.Tx == 0 {
				t.Fatalf("transaction: got %+v, want one", tx)
			}
			before := covered.Load()
			if got := f.run(request(primary, siskin.Write, "x 2")); got.Outcome != AnswerLost || got.Cause != Unconfirmed {
				t.Errorf("write that the leaving replica alone has: got %+v, want it in doubt", got)
			}
			if got := covered.Load(); got != before {
				t.Errorf("departures covered by it: got %d, want none", got-before)
			}
			begun := time.Now()
			if got := f.run(request(primary, siskin.Write, "x 3")); got.Outcome != NotSent || got.Cause != Stalled {
				t.Errorf("next write: got %+v, want it refused", got)
			}
			if took := time.Since(begun); took > replicaTimeout+receiptGrace {
				t.Errorf("refusal: got it after %v, want at once", took)
			}
			commit := request(primary, siskin.Commit, "")
			commit.Mode, commit.Tx = Continue, tx.Tx
			if got := f.run(commit); got.Outcome != NotSent || got.Cause != Stalled {
				t.Errorf("commit: got %+v, want it refused", got)
			}
			if got := primary.Count("x", "3") + primary.Count("y", "1"); got != 0 {
				t.Errorf("refused writes in the log: got %d, want 0", got)
			}
			staying.SetReceiveBlocked(false)
			f.expectWriteSuccess(primary)
		})
	}
}

// TestLeavingReplicaConfirmsNothing guards against a lease that rests on a
// replica which a change of primary need not claim.
func TestLeavingReplicaConfirmsNothing(t *testing.T) {
	f := unfenced(t)
	f.drainReplica(f.target(1))
	f.claim(f.target(2), 100)
	if got := f.run(leadRead(f.target(0))); got.Cause != Unconfirmed {
		t.Errorf("read confirmed by a leaving replica alone: got %+v, want %v", got, Unconfirmed)
	}
}

// TestCoverDepartures guards against a service without commits whose leaving
// replicas count for minutes, and against one that is covered while the staying
// replicas lack commits.
func TestCoverDepartures(t *testing.T) {
	f := fenced(t)
	covered := f.drainReplica(f.target(1))
	primary := f.target(0)
	f.homes.CoverDepartures(t.Context(), "ledger", primary.ID())
	if got := covered.Load(); got != 1 {
		t.Errorf("departures covered without commits: got %d, want 1", got)
	}
	f.target(2).SetReceiveBlocked(true)
	req := request(primary, siskin.Write, "x 1")
	req.Timeout = 100 * time.Millisecond
	f.run(req)
	f.homes.CoverDepartures(t.Context(), "ledger", primary.ID())
	if got := covered.Load(); got != 1 {
		t.Errorf("departures covered while the staying replica lacks a commit: got %d, want none", got-1)
	}
	f.target(2).SetReceiveBlocked(false)
	f.homes.CoverDepartures(t.Context(), "ledger", primary.ID())
	if got := covered.Load(); got != 2 {
		t.Errorf("departures covered once it has the commit: got %d, want 1", got-1)
	}
}

// TestOnlyReplicasLeave guards against writes that are refused because all
// replicas drain before their successors start. The leaving ones must not be
// covered, since they alone have the commits.
func TestOnlyReplicasLeave(t *testing.T) {
	f := fenced(t)
	covered := f.drainReplica(f.target(1), f.target(2))
	// The lease rests on the replicas together, since none of them claims.
	f.expectWriteSuccess(f.target(0))
	f.homes.CoverDepartures(t.Context(), "ledger", f.target(0).ID())
	if got := covered.Load(); got != 0 {
		t.Errorf("departures covered without a staying replica: got %d, want none", got)
	}
}

// TestOutdatedList guards against commits that are reported as successful
// although this VM may not know the targets that a change of primary counts.
func TestOutdatedList(t *testing.T) {
	for _, c := range []struct {
		name           string
		state          siskin.ListState
		unsettled      bool
		blocked        bool // the last replica receives nothing
		unlisted       bool // the last replica is missing from the list
		drains         bool // the last replica drains
		want           Outcome
		wantCause      Cause
		wantNextIsSent bool
	}{
		{"current", siskin.ListCurrent, false, true, false, false, Answered, 0, true},
		{"outdated, all replicas have it", siskin.ListOutdated, false, false, false, false, Answered, 0, true},
		{"outdated, one lacks it", siskin.ListOutdated, false, true, false, false, AnswerLost, Unconfirmed, false},
		{"outdated, one is not listed", siskin.ListOutdated, false, false, true, false, NotSent, Stalled, false},
		{"expired", siskin.ListExpired, false, false, false, false, NotSent, Stalled, false},
		{"all replicas have just joined and have it", siskin.ListCurrent, true, false, false, false, Answered, 0, true},
		{"all replicas have just joined, one lacks it", siskin.ListCurrent, true, true, false, false, AnswerLost, Unconfirmed, false},
		{"one that drains lacks it", siskin.ListCurrent, false, true, false, true, Answered, 0, true},
		{"one that drains lacks it, the other has just joined", siskin.ListCurrent, true, true, false, true, AnswerLost, Unconfirmed, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := fenced(t)
			cfg := f.homes.cfg.LeaseConfig
			f.expectWriteSuccess(f.target(0))
			cfg.ListState = func() siskin.ListState { return c.state }
			cfg.Settled = func(siskin.TargetID) bool { return !c.unsettled }
			if listed := cfg.Targets; c.unlisted {
				cfg.Targets = func(name siskin.ServiceName) []siskin.TargetInfo { return listed(name)[:2] }
			}
			if c.drains {
				f.drainReplica(f.target(2))
			}
			f.target(2).SetReceiveBlocked(c.blocked)
			time.Sleep(lease.TTL) // the lease is from before
			req := request(f.target(0), siskin.Write, "x 1")
			if got := f.run(req); got.Outcome != c.want || got.Cause != c.wantCause {
				t.Errorf("write: got %v and %v, want %v and %v", got.Outcome, got.Cause, c.want, c.wantCause)
			}
			begun := time.Now()
			got := f.run(request(f.target(0), siskin.Write, "x 2"))
			if sent := got.Outcome != NotSent; sent != c.wantNextIsSent {
				t.Errorf("next write: got %v and %v, want sent %t", got.Outcome, got.Cause, c.wantNextIsSent)
			}
			if took := time.Since(begun); !c.wantNextIsSent && took > renewTimeout {
				t.Errorf("refusal: got it after %v, want at most %v", took, renewTimeout)
			}
		})
	}
}
