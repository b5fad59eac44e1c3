package home

import (
	"context"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/internal/lease"
	"siskintray.example/siskin/internal/views"
	"siskintray.example/siskin/platform"
	"siskintray.example/siskin/platform/stand"
)

// otherVM returns the homes of another VM that is the home of a target, and answers
// questions for its state.
func (f *fixture) otherVM(id siskin.TargetID) *Homes {
	cfg := f.homes.cfg
	cfg.Views, cfg.LeaseConfig, cfg.Clock = views.New(), nil, boot.Clock{}
	h := New(cfg)
	f.t.Cleanup(func() {
		if err := h.Close(); err != nil {
			f.t.Error(err)
		}
	})
	own := f.homes.cfg.LeaseConfig.Status
	f.homes.cfg.LeaseConfig.Status = func(ctx context.Context, t siskin.TargetID) (o Observation, err error) {
		if t != id {
			return own(ctx, t)
		}
		var a siskin.Answer
		if a, o.ConnAge, err = h.Observe(ctx, id); err == nil {
			o.Status, err = platform.ParseStatus(&a)
		}
		return o, err
	}
	return h
}

// expectWriteSuccess checks that a write at a target succeeds within a second.
func (f *fixture) expectWriteSuccess(target *stand.Target) {
	f.t.Helper()
	const limit = time.Second
	for begun := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if got := f.run(request(target, siskin.Write, "x 2")); got.Outcome == Answered && got.Answer.Code == siskin.Succeeded {
			return
		}
		if time.Since(begun) > limit {
			f.t.Fatalf("first success: got none within %v, want one", limit)
		}
	}
}

// TestHomeWithoutConnection guards against a restarted replica that confirms a lead
// since its home had no connection to it that could break. Lists of service discovery
// do not tell of the start yet.
func TestHomeWithoutConnection(t *testing.T) {
	for name, start := range map[string]func(*testing.T) *fixture{"without fencing": unfenced, "with fencing": fenced} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			f.since = f.homes.cfg.Clock.Now().Add(-time.Hour)
			f.listed = f.homes.cfg.Clock.Now().Add(maxEntryLag / 2)
			f.otherVM(f.target(2).ID())
			f.writeThroughRestart()
		})
	}
}

// TestNewRunListed guards against the same where the home has closed its connections
// since its list tells of the new run, and the asking VM has an older list.
func TestNewRunListed(t *testing.T) {
	f := fenced(t)
	f.since = f.homes.cfg.Clock.Now().Add(-time.Hour)
	f.listed = f.homes.cfg.Clock.Now()
	primary, chosen, restarted := f.target(0), f.target(1), f.target(2)
	otherVM := f.otherVM(restarted.ID())
	startedAt := time.Unix(1, 0)
	target := otherVM.cfg.Target
	otherVM.cfg.Target = func(id siskin.TargetID) (siskin.TargetInfo, bool) {
		info, ok := target(id)
		info.StartedAt = startedAt
		return info, ok
	}
	if _, _, err := otherVM.Observe(context.Background(), restarted.ID()); err != nil {
		t.Fatal(err)
	}
	if got := f.run(request(primary, siskin.Write, "x 1")); got.Outcome != Answered {
		t.Fatalf("write before the claims: got %+v, want an answer", got)
	}
	f.claim(chosen, 100)
	f.claim(restarted, 100)
	time.Sleep(lease.PromotionDelay)
	f.restart(restarted)
	startedAt = time.Unix(2, 0)
	otherVM.Update()
	if got := f.run(request(primary, siskin.Write, "x 2")); got.Outcome != NotSent {
		t.Errorf("write after the replica's start: got %+v, want it refused", got)
	}
}

// TestUnknownService guards against commits without a lease at a VM that does not have
// the configuration yet.
func TestUnknownService(t *testing.T) {
	f := fenced(t)
	f.homes.cfg.LeaseConfig.Service = func(siskin.ServiceName) (siskin.ServiceSpec, bool) { return siskin.ServiceSpec{}, false }
	if got := f.run(request(f.target(0), siskin.Write, "x 1")); got.Outcome != NotSent {
		t.Errorf("write without a configuration: got %+v, want it refused", got)
	}
}

// TestRestartsWithoutClaims guards against writes that are refused for seconds since
// replicas have started again, although nothing is claimed.
func TestRestartsWithoutClaims(t *testing.T) {
	for _, c := range []struct {
		name    string
		targets int
		sync    int
		restart []int
	}{
		{"the only replica", 2, 1, []int{1}},
		{"one of two replicas that both acknowledge", 3, 2, []int{2}},
		{"all targets", 3, 1, []int{0, 1, 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := fenced(t)
			leads := f.homes.cfg.LeaseConfig
			targets := leads.Targets
			leads.Targets = func(name siskin.ServiceName) []siskin.TargetInfo { return targets(name)[:c.targets] }
			leads.GroupSize = func(siskin.ServiceName) int { return c.targets }
			leads.Service = func(name siskin.ServiceName) (siskin.ServiceSpec, bool) {
				return siskin.ServiceSpec{Name: name, SyncReplicas: c.sync}, true
			}
			if got := f.run(request(f.target(0), siskin.Write, "x 1")); got.Outcome != Answered {
				t.Fatalf("write before: got %+v, want an answer", got)
			}
			time.Sleep(lease.TTL)
			for _, i := range c.restart {
				f.target(i).Crash()
			}
			for _, i := range c.restart {
				if err := f.target(i).Restart(); err != nil {
					t.Fatal(err)
				}
			}
			f.expectWriteSuccess(f.target(0))
		})
	}
}

// TestFailoverOfYoungFleet guards against writes that are refused for seconds after the
// loss of a primary, since no connection to the replica that is left is old enough and
// the store has no list: a target that does not run is no target of an order.
func TestFailoverOfYoungFleet(t *testing.T) {
	for name, start := range map[string]func(*testing.T) *fixture{"without fencing": unfenced, "with fencing": fenced} {
		t.Run(name, func(t *testing.T) {
			f := start(t)
			f.target(0).Crash()
			if err := f.platform.Promote(f.target(1)); err != nil {
				t.Fatal(err)
			}
			f.expectWriteSuccess(f.target(1))
		})
	}
}

// TestIncompleteGroup guards against replicas that confirm a lead together although one
// more, which service discovery has dropped, may be the target of an order.
func TestIncompleteGroup(t *testing.T) {
	f := fenced(t)
	targets := f.homes.cfg.LeaseConfig.Targets
	f.homes.cfg.LeaseConfig.Targets = func(name siskin.ServiceName) []siskin.TargetInfo { return targets(name)[:2] }
	if got := f.run(request(f.target(0), siskin.Write, "x 1")); got.Outcome != NotSent {
		t.Errorf("write while a target is not listed: got %+v, want it refused", got)
	}
}

// TestJoinedRenewal guards against a commit that is in doubt since the renewal which it
// waited for had begun while the replicas were out of reach.
func TestJoinedRenewal(t *testing.T) {
	f := fenced(t)
	primary := f.target(0)
	if got := f.run(request(primary, siskin.Write, "x 1")); got.Outcome != Answered {
		t.Fatalf("write: got %+v, want an answer", got)
	}
	f.target(1).SetReceiveBlocked(true)
	f.target(2).SetReceiveBlocked(true)
	own := f.homes.cfg.LeaseConfig.Status
	var mu sync.Mutex
	cut := false
	f.homes.cfg.LeaseConfig.Status = func(ctx context.Context, id siskin.TargetID) (Observation, error) {
		mu.Lock()
		silent := cut
		mu.Unlock()
		if silent {
			<-ctx.Done()
			return Observation{}, siskin.NewError(siskin.Unavailable, "silent")
		}
		return own(ctx, id)
	}
	waiting := make(chan Reply)
	go func() {
		req := request(primary, siskin.Write, "x 2")
		req.Timeout = 2 * time.Second
		waiting <- f.run(req)
	}()
	time.Sleep(lease.TTL + 50*time.Millisecond)
	set := func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		cut = on
	}
	set(true)
	l, _ := f.homes.pool(primary.ID())
	f.homes.renew("ledger", l, 0)
	time.Sleep(replicaTimeout * 4 / 3) // all replicas have been asked
	set(false)
	f.target(1).SetReceiveBlocked(false)
	if got := <-waiting; got.Outcome != Answered || got.Answer.Code != siskin.Succeeded {
		t.Errorf("commit acknowledged after the cut: got %+v, want success", got)
	}
}

// TestReadsBesideQuestions guards against reads that find no place since writes hold
// them while they ask silent replicas.
func TestReadsBesideQuestions(t *testing.T) {
	f := fenced(t)
	primary := f.target(0)
	own := f.homes.cfg.LeaseConfig.Status
	f.homes.cfg.LeaseConfig.Status = func(ctx context.Context, id siskin.TargetID) (Observation, error) {
		if id == primary.ID() {
			return own(ctx, id)
		}
		<-ctx.Done()
		return Observation{}, siskin.NewError(siskin.Unavailable, "silent")
	}
	const (
		length = 2 * time.Second
		bound  = 100 * time.Millisecond
	)
	begun := time.Now()
	var callers sync.WaitGroup
	for range 10 {
		callers.Go(func() {
			for time.Since(begun) < length {
				req := request(primary, siskin.Write, "x 1")
				req.Timeout, req.QueueTimeout = 600*time.Millisecond, 450*time.Millisecond
				f.run(req)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	late := 0
	for time.Since(begun) < length {
		sent := time.Now()
		if got := f.run(request(primary, siskin.Read, "x")); got.Outcome != Answered || time.Since(sent) > bound {
			late++
		}
		time.Sleep(10 * time.Millisecond)
	}
	callers.Wait()
	if late > 0 {
		t.Errorf("reads beside writes that ask silent replicas: got %d later than %v, want none", late, bound)
	}
}
