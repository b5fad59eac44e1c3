package elect

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/views"
	"siskintray.example/siskin/platform"
	"siskintray.example/siskin/platform/stand"
)

// alone is a fleet of one VM.
type alone struct{}

func (alone) Self() siskin.VM                      { return siskin.VM{ID: "vm"} }
func (alone) Live() []siskin.VM                    { return []siskin.VM{{ID: "vm"}} }
func (alone) Lookup(siskin.VMID) (siskin.VM, bool) { return siskin.VM{}, false }
func (alone) Changed() <-chan struct{}             { return nil }

// newChange returns a change of the primary of a stand-in.
func newChange(t *testing.T) (*change, *stand.Platform) {
	t.Helper()
	p, err := stand.Start(stand.ServiceOptions{Name: "ledger", Zones: []string{"a", "b", "c"}, Slots: 2, MaxConnections: 16, SyncReplicas: 1})
	if err != nil {
		t.Fatal(err)
	}
	targets := roster.New()
	var list []siskin.TargetInfo
	for _, target := range p.Targets("ledger") {
		list = append(list, siskin.TargetInfo{ID: target.ID(), Service: "ledger", Address: target.Address(), Slots: 2})
	}
	targets.Replace(list, 1, time.Unix(1, 0))
	v := views.New()
	homes := home.New(home.Config{
		Clock: boot.Clock{}, Views: v, Connector: &platform.Connector{Dial: (&net.Dialer{}).DialContext}, Target: targets.Target,
		Limit: func(siskin.TargetInfo) int { return 4 }, IsHome: func(siskin.TargetInfo) bool { return true },
	})
	e := &Elector{
		cfg: Config{
			Clock: boot.Clock{}, Members: alone{}, Roster: targets, Views: v, Homes: homes,
			Status: platform.ParseStatus, Log: logs.New("error", "json", io.Discard),
		},
		ctx: context.Background(),
	}
	t.Cleanup(func() {
		e.done.Wait()
		if err := homes.Close(); err != nil {
			t.Error(err)
		}
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return &change{e: e, spec: siskin.ServiceSpec{Name: "ledger", SyncReplicas: 1}, old: list[0].ID}, p
}

func (c *change) held(t *testing.T, id siskin.TargetID) siskin.Term {
	t.Helper()
	s, err := c.control(context.Background(), id, siskin.Statement{Kind: siskin.Status})
	if err != nil {
		t.Fatal(err)
	}
	return s.HeldTerm
}

func (c *change) claimed(t *testing.T) {
	t.Helper()
	ctx := context.Background()
	if err := c.inspect(ctx); err != nil {
		t.Fatal(err)
	}
	if err := c.claimAll(ctx); err != nil {
		t.Fatal(err)
	}
}

// TestUnpauseOfEarlierTerm guards against a change that failed and ends the
// claims of a later one, whose promotion is on its way: a commit that such a
// replica acknowledges is then lost.
func TestUnpauseOfEarlierTerm(t *testing.T) {
	c, _ := newChange(t)
	c.claimed(t)
	replica := c.claims[1].target.ID
	if _, err := c.control(context.Background(), replica, siskin.Statement{Kind: siskin.Pause, Term: c.term + 1}); err != nil {
		t.Fatal(err)
	}
	c.unpause()
	c.e.done.Wait()
	if got, want := c.held(t, replica), c.term+1; got != want {
		t.Errorf("term held for a later change: got %d, want %d", got, want)
	}
	if got := c.held(t, c.claims[2].target.ID); got != 0 {
		t.Errorf("term held by the failed change: got %d, want 0", got)
	}
}

// TestPendingPromotion guards against replicas that acknowledge commits again
// while a promotion without an answer may still be carried out.
func TestPendingPromotion(t *testing.T) {
	c, _ := newChange(t)
	c.claimed(t)
	c.pending = true
	c.unpause()
	c.e.done.Wait()
	for _, cl := range c.claims[1:] {
		if got := c.held(t, cl.target.ID); got != c.term {
			t.Errorf("term held by %s: got %d, want %d", cl.target.ID, got, c.term)
		}
	}
}

// TestReplicaIsNoPrimary guards against a replica that accepts to step down and
// counts as a primary with every commit.
func TestReplicaIsNoPrimary(t *testing.T) {
	c, p := newChange(t)
	c.old = p.Targets("ledger")[1].ID() // a stale view
	p.Targets("ledger")[0].Crash()
	p.Targets("ledger")[2].Crash()
	ctx := context.Background()
	if err := c.inspect(ctx); err == nil {
		if err = c.claimAll(ctx); err == nil {
			t.Errorf("claims of one replica of three: got %s to promote, want a refusal", c.chosen.target.ID)
		}
	}
}

// TestReplicaOutOfReach guards against a replica that is freed although it does not
// follow the new primary: commits of the former one would be acknowledged by it.
func TestReplicaOutOfReach(t *testing.T) {
	c, p := newChange(t)
	replica := p.Targets("ledger")[2].ID()
	c.unfenced, c.led, c.term, c.newTerm = true, true, 100, 2
	ctx, cancel := context.WithCancel(context.Background())
	c.e.ctx = ctx
	if _, err := c.control(ctx, replica, siskin.Statement{Kind: siskin.Pause, Term: c.term}); err != nil {
		t.Fatal(err)
	}
	c.e.done.Go(func() { c.unpauseOne(replica) })
	time.Sleep(4 * followLooks * followPoll)
	if got := c.held(t, replica); got != c.term {
		t.Errorf("term held by a replica of the former primary: got %d, want %d", got, c.term)
	}
	// The new primary leads and reaches it.
	if err := p.Promote(p.Targets("ledger")[1]); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(3 * time.Second); c.held(t, replica) != 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("term held by a replica that can follow: got %d, want 0", c.held(t, replica))
		}
	}
	time.Sleep(2 * followLooks * followPoll)
	if got := c.held(t, replica); got != 0 {
		t.Errorf("term held by a replica that follows the new primary: got %d, want 0", got)
	}
	cancel()
}

// TestLapsedTargets guards against a promotion on the claim of a single replica
// once discovery has dropped the primary, which leads on, and another replica is
// down: a replica that starts during the promotion acknowledges commits of the
// former primary, and the promoted target lacks them.
func TestLapsedTargets(t *testing.T) {
	c, p := newChange(t)
	targets := c.e.cfg.Roster.Service("ledger")
	p.Targets("ledger")[2].Crash()
	at := time.Unix(2, 0)
	for range 5 { // lists without the primary, until it counts as gone
		c.e.cfg.Roster.Replace(targets[1:], 2, at)
		at = at.Add(time.Second)
		c.e.cfg.Roster.Confirm(2, at)
	}
	if got, want := len(c.e.cfg.Roster.Service("ledger")), len(targets)-1; got != want {
		t.Fatalf("targets known: got %d, want %d", got, want)
	}
	ctx := context.Background()
	if err := c.inspect(ctx); err == nil {
		if err = c.claimAll(ctx); err == nil {
			t.Errorf("claims of one target of three: got %s to promote, want a refusal", c.chosen.target.ID)
		}
	}
}

// TestNewcomer guards against a replica that starts after the claims and goes
// unnoticed: it acknowledges commits of the former primary during the promotion.
func TestNewcomer(t *testing.T) {
	c, _ := newChange(t)
	c.claimed(t)
	if err := c.stillClaimed(context.Background()); err != nil {
		t.Fatal(err)
	}
	targets := append([]siskin.TargetInfo{{ID: "new", Service: "ledger"}}, c.e.cfg.Roster.Service("ledger")...)
	c.e.cfg.Roster.Replace(targets, 2, time.Unix(2, 0))
	if got, want := siskin.KindOf(c.stillClaimed(context.Background())), siskin.Conflict; got != want {
		t.Errorf("claims without a replica that joined: got %s, want %s", got, want)
	}
}

// TestCompare guards against a promotion whose claims hold by their term alone: a
// target that started again has lost its log, and one of a later term follows another
// change's target.
func TestCompare(t *testing.T) {
	at := func(lsn siskin.LSN) siskin.ControlStatus {
		return siskin.ControlStatus{Term: 1, HeldTerm: 9, Received: siskin.Position{Term: 1, LSN: lsn}}
	}
	later := at(7)
	later.Term = 2
	for _, c := range []struct {
		name  string
		again [3]siskin.ControlStatus
		want  bool // the claims still suffice
	}{
		{"as before", [3]siskin.ControlStatus{at(9), at(7), at(7)}, true},
		{"the chosen one has started again", [3]siskin.ControlStatus{at(9), at(3), at(7)}, false},
		{"one more has started again", [3]siskin.ControlStatus{at(9), at(7), at(0)}, false},
		{"another change has promoted", [3]siskin.ControlStatus{at(9), at(7), later}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ch := &change{term: 9, leadTerm: 1, spec: siskin.ServiceSpec{SyncReplicas: 1}}
			var again []claim
			for i, s := range []siskin.ControlStatus{at(9), at(7), at(7)} {
				cl := claim{target: siskin.TargetInfo{ID: siskin.TargetID("abc"[i : i+1])}, status: s, primary: i == 0}
				ch.claims = append(ch.claims, cl)
				cl.status = c.again[i]
				again = append(again, cl)
			}
			ch.chosen = ch.claims[1]
			err := ch.compare(again)
			if got := err == nil; got != c.want {
				t.Errorf("claims suffice: got %v (%v), want %v", got, err, c.want)
			}
			if err != nil && siskin.KindOf(err) != siskin.Conflict {
				t.Errorf("kind of the refusal: got %v, want %v", siskin.KindOf(err), siskin.Conflict)
			}
		})
	}
}

// TestWaitForOtherOrders guards against a promotion before that of the change whose
// claims were taken over: its target acknowledges commits that the chosen one lacks.
func TestWaitForOtherOrders(t *testing.T) {
	c, _ := newChange(t)
	ctx := context.Background()
	if _, err := c.control(ctx, c.e.cfg.Roster.Service("ledger")[1].ID, siskin.Statement{Kind: siskin.Pause, Term: 5}); err != nil {
		t.Fatal(err)
	}
	c.claimed(t)
	start := time.Now()
	if err := c.settle(ctx); err != nil {
		t.Fatal(err)
	}
	if got, want := time.Since(start), takeOverWait-100*time.Millisecond; got < want {
		t.Errorf("wait after claims were taken over: got %v, want at least %v", got, want)
	}
}
