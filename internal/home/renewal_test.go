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

// otherVM returns the Homes of another VM that is the home of a target, and
// sends status requests for that target to them.
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

// TestHomeWithoutConnection guards against a restarted replica that confirms a
// primary because its home had no connection to it that could break. Service
// discovery does not list the restart yet.
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

// TestNewRunListed guards against the same fault if the home has closed its
// connections after service discovery listed the new run, while the requesting
// VM has an older list.
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
		t.Errorf("write after the replica's restart: got %+v, want it refused", got)
	}
}

// TestUnknownService guards against commits without a lease on a VM that does
// not have the configuration yet.
func TestUnknownService(t *testing.T) {
	f := fenced(t)
	f.homes.cfg.LeaseConfig.Service = func(siskin.ServiceName) (siskin.ServiceSpec, bool) { return siskin.ServiceSpec{}, false }
	if got := f.run(request(f.target(0), siskin.Write, "x 1")); got.Outcome != NotSent {
		t.Errorf("write without a configuration: got %+v, want it refused", got)
	}
}

// TestRestartsWithoutClaims guards against writes that are refused for seconds
// because replicas have restarted, although none is claimed.
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

// TestFailoverOfYoungFleet guards against writes that are refused for seconds
// after the loss of a primary, because no connection to the remaining replica
// is old enough and the store has no list. A target that does not run cannot be
// promoted.
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

// TestIncompleteGroup guards against replicas that confirm a primary although
// another replica, which service discovery no longer lists, may be the target
// of a promotion.
func TestIncompleteGroup(t *testing.T) {
	f := fenced(t)
	targets := f.homes.cfg.LeaseConfig.Targets
	f.homes.cfg.LeaseConfig.Targets = func(name siskin.ServiceName) []siskin.TargetInfo { return targets(name)[:2] }
	if got := f.run(request(f.target(0), siskin.Write, "x 1")); got.Outcome != NotSent {
		t.Errorf("write while a target is not listed: got %+v, want it refused", got)
	}
}

// TestJoinedRenewal guards against a commit that is in doubt because the
// renewal it waited for had started while the replicas were unreachable.
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
			return Observation{}, siskin.NewError(siskin.Unavailable, "no answer")
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

// TestReadsBesideQuestions guards against reads that get no slot because writes
// hold them while they query unresponsive replicas.
func TestReadsBesideQuestions(t *testing.T) {
	f := fenced(t)
	primary := f.target(0)
	own := f.homes.cfg.LeaseConfig.Status
	f.homes.cfg.LeaseConfig.Status = func(ctx context.Context, id siskin.TargetID) (Observation, error) {
		if id == primary.ID() {
			return own(ctx, id)
		}
		<-ctx.Done()
		return Observation{}, siskin.NewError(siskin.Unavailable, "no answer")
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
		t.Errorf("reads during writes that query unresponsive replicas: got %d later than %v, want none", late, bound)
	}
}
