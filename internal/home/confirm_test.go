package home

import (
	"context"
	"io"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/platform"
	"siskintray.example/siskin/platform/stand"
)

// unfenced returns a fixture whose platform does not demote former primaries.
func unfenced(t *testing.T) *fixture {
	t.Helper()
	f := start(t, stand.ServiceOptions{Unfenced: true, MaxConnections: 10})
	f.withLeases(false)
	return f
}

// fenced returns a fixture whose platform demotes former primaries.
func fenced(t *testing.T) *fixture {
	t.Helper()
	f := start(t, stand.ServiceOptions{MaxConnections: 10})
	f.withLeases(true)
	return f
}

// withLeases makes the homes confirm commits only under leases.
func (f *fixture) withLeases(fencing bool) {
	f.homes.cfg.LeaseConfig = &LeaseConfig{
		Leases: lease.New(), Fencing: fencing, Log: logs.New("error", "json", io.Discard),
		Listed:    func(siskin.TargetID) (since, listed time.Time, ok bool) { return f.since, f.listed, true },
		GroupSize: func(name siskin.ServiceName) int { return len(f.platform.Targets(string(name))) },
		Service: func(name siskin.ServiceName) (siskin.ServiceSpec, bool) {
			return siskin.ServiceSpec{Name: name, SyncReplicas: 1}, true
		},
		Targets: func(siskin.ServiceName) []siskin.TargetInfo {
			var list []siskin.TargetInfo
			for _, target := range f.platform.Targets("ledger") {
				info, _ := f.homes.cfg.Target(target.ID())
				list = append(list, info)
			}
			return list
		},
		Status: func(ctx context.Context, id siskin.TargetID) (o Observation, err error) {
			f.statusCalls.Add(1)
			var a siskin.Answer
			if a, o.ConnAge, err = f.homes.Observe(ctx, id); err == nil {
				o.Status, err = platform.ParseStatus(&a)
			}
			return o, err
		},
	}
}

// claim pauses a target, as a change of primary does.
func (f *fixture) claim(target *stand.Target, term siskin.Term) {
	f.t.Helper()
	if _, err := f.homes.Control(context.Background(), target.ID(), siskin.Statement{Kind: siskin.Pause, Term: term}); err != nil {
		f.t.Fatal(err)
	}
}

func leadRead(target *stand.Target) *Request {
	read := request(target, siskin.Read, "x")
	read.Proof = LeadProof
	return read
}

// TestFormerPrimary guards against reads at a former primary that still runs,
// since it lacks the commits of the new primary.
func TestFormerPrimary(t *testing.T) {
	f := unfenced(t)
	former, next := f.target(0), f.target(1)
	if got := f.run(leadRead(former)); got.Outcome != Answered || !got.LeadProven {
		t.Fatalf("read at the primary: got %+v, want an answer and a proof of leadership", got)
	}
	former.SetPartitioned(true)
	f.claim(next, 100)
	f.claim(f.target(2), 100)
	time.Sleep(lease.PromotionDelay)
	if err := f.platform.Promote(next); err != nil {
		t.Fatal(err)
	}
	before := former.Statements()
	if got := f.run(leadRead(former)); got.Outcome != NotSent || got.Cause != Unconfirmed {
		t.Errorf("read at the former primary: got %+v, want %v", got, Unconfirmed)
	}
	if got := former.Statements(); got != before {
		t.Errorf("statements run at the former primary: got %d, want %d", got, before)
	}
	if err := f.homes.Ping(context.Background(), "ledger", former.ID()); siskin.KindOf(err) != siskin.NotRun {
		t.Errorf("proof of leadership of the former primary: got %v, want an error of kind NotRun", err)
	}
	if got := f.views.LatestProof("ledger"); got.Target == former.ID() && f.homes.cfg.Clock.Since(got.At) < lease.PromotionDelay {
		t.Errorf("proof of leadership: got one of %s after the promotion, want none", got.Target)
	}
}

// TestClaimedReplicas guards against a lease that is renewed while a change of
// primary waits for its expiry.
func TestClaimedReplicas(t *testing.T) {
	f := unfenced(t)
	primary := f.target(0)
	if got := f.run(leadRead(primary)); got.Outcome != Answered {
		t.Fatalf("read: got %+v, want an answer", got)
	}
	f.claim(f.target(1), 100)
	f.claim(f.target(2), 100)
	time.Sleep(lease.PromotionDelay)
	if got := f.run(leadRead(primary)); got.Cause != Unconfirmed {
		t.Errorf("read %v after the last claim: got %+v, want %v", lease.PromotionDelay, got, Unconfirmed)
	}
	if !f.homes.ReplicaClaimed(primary.ID()) {
		t.Error("claimed replicas: got false, want true")
	}
}

// TestCommitsExtendLease guards against requests to replicas for a lease although
// commits extend it. It also guards against commits that count as evidence
// without a lease: a claimed replica may have restarted, lost its claim and
// acknowledged them.
func TestCommitsExtendLease(t *testing.T) {
	for name, start := range map[string]func(*testing.T) *fixture{"without fencing": unfenced, "with fencing": fenced} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			primary := f.target(0)
			targets := f.homes.cfg.LeaseConfig.Targets
			f.homes.cfg.LeaseConfig.Targets = func(siskin.ServiceName) []siskin.TargetInfo { return nil }
			if got := f.run(leadRead(primary)); !f.homes.cfg.LeaseConfig.Fencing && got.Cause != Unconfirmed {
				t.Errorf("read without evidence: got %+v, want %v", got, Unconfirmed)
			}
			if got := f.run(request(primary, siskin.Write, "x 0")); got.Outcome != NotSent || got.Cause != Stalled {
				t.Errorf("write without evidence: got %+v, want it refused", got)
			}
			time.Sleep(renewalBackoff)
			f.homes.cfg.LeaseConfig.Targets = targets
			if got := f.run(request(primary, siskin.Write, "x 1")); got.Answer.Code != siskin.Succeeded || !got.LeadProven {
				t.Fatalf("write: got %+v, want success", got)
			}
			statusCalls, commits := f.statusCalls.Load(), int64(0)
			for begun := time.Now(); time.Since(begun) < 2*lease.TTL; time.Sleep(lease.RenewAfter / 4) {
				if got := f.run(request(primary, siskin.Write, "x 1")); got.Answer.Code != siskin.Succeeded || !got.LeadProven {
					t.Fatalf("write after %v: got %+v, want success", time.Since(begun), got)
				}
				commits++
			}
			// A commit asks one replica for its receipt.
			if got := f.statusCalls.Load() - statusCalls; got > commits {
				t.Errorf("status requests while commits succeed: got %d, want at most %d, none for the lease", got, commits)
			}
			// Without replicas to ask, only the commits can have extended the lease.
			f.homes.cfg.LeaseConfig.Targets = func(siskin.ServiceName) []siskin.TargetInfo { return nil }
			if got := f.run(leadRead(primary)); got.Outcome != Answered {
				t.Errorf("read after a commit: got %+v, want an answer", got)
			}
		})
	}
}

// TestUnconfirmedLeavesConnection guards against a connection that is recorded
// as holding a session's values although they were not sent on it.
func TestUnconfirmedLeavesConnection(t *testing.T) {
	f := unfenced(t)
	primary := f.target(0)
	f.homes.cfg.LeaseConfig.Targets = func(siskin.ServiceName) []siskin.TargetInfo { return nil }
	read := leadRead(primary)
	read.Values = []Value{{"mode", "strict"}}
	if got := f.run(read); got.Cause != Unconfirmed {
		t.Fatalf("read: got %+v, want %v", got, Unconfirmed)
	}
	l, _ := f.homes.pool(primary.ID())
	if got := len(l.idle); got != 1 {
		t.Fatalf("idle connections: got %d, want 1", got)
	}
	if got := len(l.idle[0].values); got != 0 {
		t.Errorf("values held on the connection: got %d, want 0", got)
	}
}

// TestStatusWithoutConnection guards against a lease that cannot be renewed
// because the replica accepts no more connections.
func TestStatusWithoutConnection(t *testing.T) {
	f := unfenced(t)
	replica := f.target(1)
	f.limit = 10
	var conns []*conn
	l, _ := f.homes.pool(replica.ID())
	for range 10 {
		c, err := l.conn(context.Background(), "acme", 0, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	for _, c := range conns {
		l.put(c)
	}
	if _, err := f.homes.Control(context.Background(), replica.ID(), siskin.Statement{Kind: siskin.Status}); err != nil {
		t.Errorf("state of a replica without a free connection: got %v, want an answer", err)
	}
}
