package elect

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/lease"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/views"
	"siskintray.example/siskin/platform"
	"siskintray.example/siskin/platform/stand"
)

// oneVM is a fleet of one VM.
type oneVM struct{}

func (oneVM) Self() siskin.VM                      { return siskin.VM{ID: "vm"} }
func (oneVM) Live() []siskin.VM                    { return []siskin.VM{{ID: "vm"}} }
func (oneVM) Lookup(siskin.VMID) (siskin.VM, bool) { return siskin.VM{}, false }
func (oneVM) Changed() <-chan struct{}             { return nil }

// newChange returns a change of the primary of a simulated platform.
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
			Clock: boot.Clock{}, Fencing: true, ListState: func() siskin.ListState { return siskin.ListCurrent }, Members: oneVM{}, Roster: targets, Views: v, Homes: homes,
			Status: platform.ParseStatus, Log: logs.New("error", "json", io.Discard),
			Store: &platform.Store{BaseURL: "http://" + p.Address(), HTTP: &http.Client{}, Timeout: time.Second},
		},
		ctx: context.Background(),
	}
	e.tokens.e = e
	t.Cleanup(func() {
		e.tasks.Wait()
		if err := homes.Close(); err != nil {
			t.Error(err)
		}
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return &change{e: e, spec: siskin.ServiceSpec{Name: "ledger", SyncReplicas: 1}, oldPrimary: list[0].ID}, p
}

func (c *change) pauseTermAt(t *testing.T, id siskin.TargetID) siskin.Term {
	t.Helper()
	s, err := c.control(context.Background(), id, siskin.Statement{Kind: siskin.Status})
	if err != nil {
		t.Fatal(err)
	}
	return s.PauseTerm
}

func (c *change) claimTargets(t *testing.T) {
	t.Helper()
	ctx := context.Background()
	if err := c.inspect(ctx); err != nil {
		t.Fatal(err)
	}
	if err := c.claimAll(ctx); err != nil {
		t.Fatal(err)
	}
}

// TestUnpauseOfEarlierTerm guards against a failed change that releases the
// claims of a later one whose promotion is in flight: a commit that such a
// replica acknowledges is then lost.
func TestUnpauseOfEarlierTerm(t *testing.T) {
	c, _ := newChange(t)
	c.claimTargets(t)
	replica := c.claims[1].target.ID
	if _, err := c.control(context.Background(), replica, siskin.Statement{Kind: siskin.Pause, Term: c.term + 1}); err != nil {
		t.Fatal(err)
	}
	c.unpause()
	c.e.tasks.Wait()
	if got, want := c.pauseTermAt(t, replica), c.term+1; got != want {
		t.Errorf("pause term set by a later change: got %d, want %d", got, want)
	}
	if got := c.pauseTermAt(t, c.claims[2].target.ID); got != 0 {
		t.Errorf("pause term set by the failed change: got %d, want 0", got)
	}
}

// TestPendingPromotion guards against replicas that acknowledge commits again
// while a promotion without an answer may still take effect.
func TestPendingPromotion(t *testing.T) {
	c, _ := newChange(t)
	c.claimTargets(t)
	c.pending = true
	c.unpause()
	c.e.tasks.Wait()
	for _, cl := range c.claims[1:] {
		if got := c.pauseTermAt(t, cl.target.ID); got != c.term {
			t.Errorf("pause term of %s: got %d, want %d", cl.target.ID, got, c.term)
		}
	}
}

// TestPendingPromotionIsCancelled guards against a promotion without an answer
// that takes effect seconds later, while the old primary is still primary and a
// replica that has restarted since acknowledges its commits.
func TestPendingPromotionIsCancelled(t *testing.T) {
	c, p := newChange(t)
	targets := c.e.cfg.Roster.Service("ledger")
	c.term, c.pending = 5000, true
	for _, target := range targets[1:] {
		if _, err := c.control(context.Background(), target.ID, siskin.Statement{Kind: siskin.Pause, Term: c.term}); err != nil {
			t.Fatal(err)
		}
		c.claims = append(c.claims, claim{target: target, status: siskin.ControlStatus{PauseTerm: c.term}})
	}
	pending, err := c.e.tokens.take(context.Background(), false)
	if err != nil {
		t.Fatal(err)
	}
	orders := 0
	c.e.cfg.Promoter = promoterFunc(func(f siskin.FencingToken) error {
		if orders++; orders == 1 {
			return siskin.NewError(siskin.OutcomeUnknown, "no answer")
		}
		if f <= pending {
			t.Errorf("fencing token of the cancelling promotion: got %d, want more than %d", f, pending)
		}
		return nil
	})
	c.unpause()
	c.e.tasks.Wait()
	if want := 2; orders != want {
		t.Errorf("promotions of the current primary: got %d, want %d", orders, want)
	}
	for _, target := range targets[1:] {
		if got := c.pauseTermAt(t, target.ID); got != 0 {
			t.Errorf("pause term of %s: got %d, want 0", target.ID, got)
		}
	}
	if !p.Targets("ledger")[0].IsPrimary() {
		t.Error("old primary: got a replica, want it to be primary still")
	}
}

// TestReplicaIsNoPrimary guards against a replica that accepts StepDown and
// then counts as a primary with every commit.
func TestReplicaIsNoPrimary(t *testing.T) {
	c, p := newChange(t)
	c.oldPrimary = p.Targets("ledger")[1].ID() // a stale view
	p.Targets("ledger")[0].Crash()
	p.Targets("ledger")[2].Crash()
	ctx := context.Background()
	if err := c.inspect(ctx); err == nil {
		if err = c.claimAll(ctx); err == nil {
			t.Errorf("claims of one replica of three: got candidate %s, want an error", c.candidate.target.ID)
		}
	}
}

// TestReplicaOutOfReach guards against a replica that is resumed although it
// does not follow the new primary: it would acknowledge commits of the former
// one.
func TestReplicaOutOfReach(t *testing.T) {
	c, p := newChange(t)
	replica := p.Targets("ledger")[2].ID()
	c.unfenced, c.promoted, c.term, c.promotedTerm = true, true, 100, 2
	if _, err := c.control(context.Background(), replica, siskin.Statement{Kind: siskin.Pause, Term: c.term}); err != nil {
		t.Fatal(err)
	}
	if err := c.tryUnpause(replica); err == nil {
		t.Error("release of a replica that follows the former primary: got no error, want one")
	}
	if got := c.pauseTermAt(t, replica); got != c.term {
		t.Errorf("pause term of a replica of the former primary: got %d, want %d", got, c.term)
	}
	// The new primary is running and reaches the replica.
	if err := p.Promote(p.Targets("ledger")[1]); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(3 * time.Second); c.tryUnpause(replica) != nil; {
		if time.Now().After(deadline) {
			t.Fatalf("pause term of a replica that reaches the new primary: got %d, want 0", c.pauseTermAt(t, replica))
		}
	}
	s, err := c.control(context.Background(), replica, siskin.Statement{Kind: siskin.Status})
	if err != nil {
		t.Fatal(err)
	}
	if s.PauseTerm != 0 || s.Term < c.promotedTerm {
		t.Errorf("resumed replica: got pause term %d and term %d, want 0 and %d", s.PauseTerm, s.Term, c.promotedTerm)
	}
}

// TestReplicaWithoutClaim guards against a replica that restarts after the
// promotion and follows the former primary because it has lost its claim.
func TestReplicaWithoutClaim(t *testing.T) {
	c, p := newChange(t)
	replica := p.Targets("ledger")[2].ID()
	c.unfenced, c.promoted, c.term, c.promotedTerm = true, true, 100, 2
	if err := c.tryUnpause(replica); err == nil {
		t.Error("release of a replica that restarted and follows the former primary: got no error, want one")
	}
	if got := c.pauseTermAt(t, replica); got != c.term {
		t.Errorf("pause term of a replica of the former primary: got %d, want %d", got, c.term)
	}
}

// TestLapsedTargets guards against a promotion on the claim of a single replica
// when discovery has removed the primary, which is still running, and another
// replica is down: a replica that starts during the promotion acknowledges
// commits of the former primary, and the promoted target lacks them.
func TestLapsedTargets(t *testing.T) {
	c, p := newChange(t)
	targets := c.e.cfg.Roster.Service("ledger")
	p.Targets("ledger")[2].Crash()
	at := time.Unix(2, 0)
	for range 5 { // lists without the primary, until the roster removes it
		c.e.cfg.Roster.Replace(targets[1:], 2, at)
		at = at.Add(time.Second)
		c.e.cfg.Roster.Confirm(2, at)
	}
	if got, want := len(c.e.cfg.Roster.Service("ledger")), len(targets)-1; got != want {
		t.Fatalf("targets in the roster: got %d, want %d", got, want)
	}
	ctx := context.Background()
	if err := c.inspect(ctx); err == nil {
		if err = c.claimAll(ctx); err == nil {
			t.Errorf("claims of one target of three: got candidate %s, want an error", c.candidate.target.ID)
		}
	}
}

// TestNewcomer guards against an undetected replica that starts after the
// claims: it acknowledges commits of the former primary during the promotion.
func TestNewcomer(t *testing.T) {
	c, _ := newChange(t)
	c.claimTargets(t)
	if err := c.recheckClaims(context.Background()); err != nil {
		t.Fatal(err)
	}
	targets := append([]siskin.TargetInfo{{ID: "new", Service: "ledger"}}, c.e.cfg.Roster.Service("ledger")...)
	c.e.cfg.Roster.Replace(targets, 2, time.Unix(2, 0))
	if got, want := siskin.KindOf(c.recheckClaims(context.Background())), siskin.Conflict; got != want {
		t.Errorf("claims without a replica that joined: got %s, want %s", got, want)
	}
}

// TestTermsOfChanges guards against claims for the same term by two changes
// that start at the same moment, or by one that follows a failed one: each
// treats the claims of the other as its own, and releases them while a
// promotion is in flight.
func TestTermsOfChanges(t *testing.T) {
	c, _ := newChange(t)
	other := &change{e: c.e, spec: c.spec, oldPrimary: c.oldPrimary}
	ctx := context.Background()
	for _, change := range []*change{c, other} {
		if err := change.inspect(ctx); err != nil {
			t.Fatal(err)
		}
		if err := change.chooseTerm(ctx); err != nil {
			t.Fatal(err)
		}
		if change.term <= change.primaryTerm {
			t.Errorf("term of a claim: got %d, want more than %d", change.term, change.primaryTerm)
		}
	}
	if c.term == other.term {
		t.Errorf("terms of two changes: got %d twice, want different ones", c.term)
	}
}

// TestFenceAboveForeignClaims guards against a reserved fencing token that is
// lower than that of another change whose promotion may still take effect, and
// against the wait for such a promotion if the claims are this VM's own.
func TestFenceAboveForeignClaims(t *testing.T) {
	const held = 9
	for _, own := range []siskin.Term{0, held} {
		c, _ := newChange(t)
		c.ownTerm = own
		ctx := context.Background()
		c.e.tokens.fill(ctx)
		reserve := c.e.tokens.unused
		later, err := c.e.cfg.Store.Create(ctx, FencingTokenKind, "another", tokenValue{Serial: 1})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.control(ctx, c.e.cfg.Roster.Service("ledger")[1].ID, siskin.Statement{Kind: siskin.Pause, Term: held}); err != nil {
			t.Fatal(err)
		}
		c.claimTargets(t)
		if got, want := c.contested, own != held; got != want {
			t.Errorf("contested by claims of term %d, own term %d: got %v, want %v", held, own, got, want)
		}
		var used siskin.FencingToken
		c.e.cfg.Promoter = promoterFunc(func(f siskin.FencingToken) error {
			used = max(used, f)
			return siskin.NewError(siskin.Conflict, "refused")
		})
		_ = c.promote(ctx)
		if own != held && used <= siskin.FencingToken(later) || used < reserve {
			t.Errorf("fencing token after claims of another change: got %d, want more than %d (in reserve: %d)", used, later, reserve)
		}
	}
}

// slowStore delays its writes.
type slowStore struct{ siskin.Store }

func (s slowStore) Create(ctx context.Context, kind siskin.ObjectKind, name string, v any) (siskin.Version, error) {
	time.Sleep(2 * maxFencedCheckAge)
	return s.Store.Create(ctx, kind, name, v)
}

func (s slowStore) Update(ctx context.Context, kind siskin.ObjectKind, name string, v any, old siskin.Version) (siskin.Version, error) {
	time.Sleep(2 * maxFencedCheckAge)
	return s.Store.Update(ctx, kind, name, v, old)
}

// promoterFunc is a siskin.Promoter that calls the function for each promotion.
type promoterFunc func(siskin.FencingToken) error

func (f promoterFunc) Promote(_ context.Context, _ siskin.ServiceName, _ siskin.TargetID, _ siskin.VMID, token siskin.FencingToken) error {
	return f(token)
}

// TestCheckBeforeOrder guards against a promotion on claims that were checked
// before a slow answer of the store and have been lost since.
func TestCheckBeforeOrder(t *testing.T) {
	c, _ := newChange(t)
	c.e.cfg.Store = slowStore{c.e.cfg.Store}
	orders := 0
	c.e.cfg.Promoter = promoterFunc(func(siskin.FencingToken) error {
		orders++
		if got := c.e.cfg.Clock.Since(c.checkedAt); got > maxFencedCheckAge {
			t.Errorf("age of the check at the promotion: got %v, want at most %v", got, maxFencedCheckAge)
		}
		return siskin.NewError(siskin.Conflict, "refused")
	})
	c.claimTargets(t)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	_ = c.promote(ctx)
	if orders == 0 {
		t.Error("promotions ordered: got 0, want at least 1")
	}
}

// TestCompare guards against claims that are accepted by their term alone: a
// target that restarted has lost its log, and one of a later term follows the
// target of another change.
func TestCompare(t *testing.T) {
	at := func(lsn siskin.LSN) siskin.ControlStatus {
		return siskin.ControlStatus{Term: 1, PauseTerm: 9, Received: siskin.Position{Term: 1, LSN: lsn}}
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
			ch := &change{term: 9, primaryTerm: 1, spec: siskin.ServiceSpec{SyncReplicas: 1}}
			var again []claim
			for i, s := range []siskin.ControlStatus{at(9), at(7), at(7)} {
				cl := claim{target: siskin.TargetInfo{ID: siskin.TargetID("abc"[i : i+1])}, status: s, wasPrimary: i == 0}
				ch.claims = append(ch.claims, cl)
				cl.status = c.again[i]
				again = append(again, cl)
			}
			ch.candidate = ch.claims[1]
			err := ch.compare(again)
			if got := err == nil; got != c.want {
				t.Errorf("claims are sufficient: got %v (%v), want %v", got, err, c.want)
			}
			if err != nil && siskin.KindOf(err) != siskin.Conflict {
				t.Errorf("error kind: got %v, want %v", siskin.KindOf(err), siskin.Conflict)
			}
		})
	}
}

// TestWaitForOtherOrders guards against a promotion before that of the change
// whose claims were taken over: the target of that change acknowledges commits
// that the candidate lacks.
func TestWaitForOtherOrders(t *testing.T) {
	c, _ := newChange(t)
	ctx := context.Background()
	if _, err := c.control(ctx, c.e.cfg.Roster.Service("ledger")[1].ID, siskin.Statement{Kind: siskin.Pause, Term: 5}); err != nil {
		t.Fatal(err)
	}
	c.claimTargets(t)
	start := time.Now()
	if err := c.awaitPromotionDelay(ctx); err != nil {
		t.Fatal(err)
	}
	if got, want := time.Since(start), contestedDelay-100*time.Millisecond; got < want {
		t.Errorf("wait after claims were taken over: got %v, want at least %v", got, want)
	}
}

// TestWaitForLeases guards against a promotion while a VM may still confirm
// commits of the former primary, with fencing and without: it is ordered
// lease.PromotionDelay after the last claim, unless the newest primary stepped
// down.
func TestWaitForLeases(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	silent := claim{wasPrimary: true, err: errNoAnswer}
	replica := func(ms int) claim {
		return claim{status: siskin.ControlStatus{Term: 3, PauseTerm: 9}, answeredAt: at(ms)}
	}
	former := func(led siskin.Term, unfenced bool) claim {
		c := claim{wasPrimary: true, termAsPrimary: led, claimedAfterStepDown: unfenced, claimedByStepDown: !unfenced, answeredAt: at(0)}
		c.status = siskin.ControlStatus{Term: led, PauseTerm: 9}
		return c
	}
	for _, c := range []struct {
		name   string
		claims []claim
		want   time.Time
	}{
		{"silent primary", []claim{silent, replica(10), replica(20)}, at(20).Add(lease.PromotionDelay)},
		{"primary that stepped down", []claim{former(3, false), replica(10), replica(20)}, time.Time{}},
		{"primary that stepped down without fencing", []claim{former(3, true), replica(10), replica(20)}, time.Time{}},
		{"earlier primary that stepped down", []claim{former(2, false), replica(10), replica(20)}, at(20).Add(lease.PromotionDelay)},
		{"earlier primary that stepped down without fencing", []claim{former(2, true), replica(10), replica(20)}, at(20).Add(lease.PromotionDelay)},
	} {
		if got := promotionTime(c.claims, 9, false); !got.Equal(c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// TestReplicasOfFormerPrimary guards against a promotion that loses commits of
// a primary which stepped down: without fencing, the claimed replicas may have
// restarted and followed a former primary. With fencing they have not, and a
// primary that never reached its replicas must not be promoted again.
func TestReplicasOfFormerPrimary(t *testing.T) {
	primary := func(unfenced bool) claim {
		c := claim{target: siskin.TargetInfo{ID: "a"}, wasPrimary: true, claimedByStepDown: !unfenced, claimedAfterStepDown: unfenced, termAsPrimary: 5, logEnd: siskin.Position{Term: 5, LSN: 9}}
		c.status = siskin.ControlStatus{Term: 5, PauseTerm: 9, Received: c.logEnd}
		return c
	}
	replica := func(id siskin.TargetID, follows siskin.Term) claim {
		return claim{target: siskin.TargetInfo{ID: id}, status: siskin.ControlStatus{Term: follows, PauseTerm: 9, Received: siskin.Position{Term: 3, LSN: 12}}}
	}
	for _, c := range []struct {
		name     string
		unfenced bool
		b, c     siskin.Term // terms that the replicas follow
		want     siskin.TargetID
	}{
		{"one follows it", true, 5, 3, "b"},
		{"none does", true, 3, 3, "a"},
		{"none does, with fencing", false, 3, 3, "b"},
	} {
		if got, _ := bestCandidate([]claim{primary(c.unfenced), replica("b", c.b), replica("c", c.c)}, 9, 1); got.target.ID != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got.target.ID, c.want)
		}
	}
}

// TestConfirmedAgain guards against the replacement of a healthy primary
// because an earlier probe found its replicas claimed: commits have proved
// since that it is primary, so no further probe follows.
func TestConfirmedAgain(t *testing.T) {
	c, p := newChange(t)
	now := c.e.cfg.Clock.Now()
	primary := p.Targets("ledger")[0].ID()
	targets := c.e.cfg.Roster.Service("ledger")
	w := &watch{unconfirmedSince: now.Add(-3 * time.Second)}
	before := views.PrimaryProof{Target: primary, At: now.Add(-4 * time.Second)}
	if got := c.e.observe("ledger", primary, targets, before, w, now).stalled; got != 3*time.Second {
		t.Errorf("without a later proof: got a stall of %v, want 3 s", got)
	}
	later := views.PrimaryProof{Target: primary, At: now.Add(-time.Millisecond)}
	if got := c.e.observe("ledger", primary, targets, later, w, now).stalled; got != 0 {
		t.Errorf("after a proof that it is primary: got a stall of %v, want none", got)
	}
}

// TestOutdatedListOrdersNothing guards against a promotion of a target that
// lacks commits of a replica which other VMs know and this one does not.
func TestOutdatedListOrdersNothing(t *testing.T) {
	c, _ := newChange(t)
	c.claimTargets(t)
	if err := c.recheckClaims(t.Context()); err != nil {
		t.Fatalf("check with a current list: got %v, want none", err)
	}
	c.e.cfg.ListState = func() siskin.ListState { return siskin.ListOutdated }
	if got, want := siskin.KindOf(c.recheckClaims(t.Context())), siskin.Unavailable; got != want {
		t.Errorf("check with an outdated list: got %v, want %v", got, want)
	}
}
