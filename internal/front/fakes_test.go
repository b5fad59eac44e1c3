package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/relay"
	"siskintray.example/siskin/internal/stand/target"
)

// fakeGroup is a group that reads the state of the stand-in targets directly.
// Tests set its primary.
type fakeGroup struct {
	targets []*target.Server
	stop    chan struct{}
	stopped sync.WaitGroup

	mu            sync.Mutex
	view          siskin.GroupView
	changed       chan struct{}
	hold          chan struct{} // closed while writes are admitted
	noAck         atomic.Bool   // no replica confirms a write
	panics        atomic.Bool   // Confirm panics
	runningWrites atomic.Int64
}

func newFakeGroup(targets []*target.Server) *fakeGroup {
	open := make(chan struct{})
	close(open)
	g := &fakeGroup{targets: targets, stop: make(chan struct{}), changed: make(chan struct{}), hold: open}
	g.view.Primary = targets[0].ID()
	g.refresh()
	g.stopped.Add(1)
	go func() {
		defer g.stopped.Done()
		for {
			select {
			case <-g.stop:
				return
			case <-time.After(20 * time.Millisecond):
				g.refresh()
			}
		}
	}()
	return g
}

func (g *fakeGroup) close() {
	close(g.stop)
	g.stopped.Wait()
}

func (g *fakeGroup) refresh() {
	targets := make([]siskin.TargetView, len(g.targets))
	for i, t := range g.targets {
		st := t.Store().Status(time.Now())
		targets[i] = siskin.TargetView{Status: st, Reachable: !t.Faults().RefuseClients && !t.Faults().Silent}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.Targets = targets
}

func (g *fakeGroup) setPrimary(id siskin.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.Primary = id
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *fakeGroup) View() siskin.GroupView {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view
}

func (g *fakeGroup) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *fakeGroup) Confirm(ctx context.Context, pos siskin.Position) error {
	if g.panics.Load() {
		panic("a deliberate panic")
	}
	for {
		acks := 0
		for _, t := range g.targets {
			st := t.Store().Status(time.Now())
			if st.Role == siskin.RoleReplica && st.StreamTerm == pos.Term && st.Received >= pos.LSN {
				acks++
			}
		}
		if acks > 0 && !g.noAck.Load() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(200 * time.Microsecond):
		}
	}
}

func (g *fakeGroup) Floor(context.Context) (siskin.Position, error) {
	var floor siskin.Position
	for _, t := range g.targets {
		st := t.Store().Status(time.Now())
		if p := (siskin.Position{Term: st.LastTerm, LSN: st.Received}); p.Compare(floor) > 0 {
			floor = p
		}
	}
	return floor, nil
}

func (g *fakeGroup) AdmitWrite(ctx context.Context) (siskin.TargetID, siskin.Term, func(), error) {
	g.mu.Lock()
	hold := g.hold
	g.mu.Unlock()
	select {
	case <-hold:
	case <-ctx.Done():
		return "", 0, nil, siskin.NewError(siskin.NotRun, "writes are paused")
	}
	g.runningWrites.Add(1)
	view := g.View()
	return view.Primary, view.Term, func() { g.runningWrites.Add(-1) }, nil
}

func (g *fakeGroup) ReportFailure(siskin.TargetID, error) {}

// fakeKeys grants one key, which can be withdrawn.
type fakeKeys struct {
	withdrawn atomic.Bool
	panics    atomic.Bool // Authenticate panics
}

func newFakeKeys() *fakeKeys { return &fakeKeys{} }

func (k *fakeKeys) Authenticate(_ siskin.ServiceName, key string) (siskin.KeyGrant, error) {
	if k.panics.Load() {
		panic("a deliberate panic")
	}
	if key != testKey {
		return siskin.KeyGrant{}, siskin.NewError(siskin.KeyRefused, "key is not known").WithRemedy("ask for a key")
	}
	grant := siskin.KeyGrant{Customer: "shop", Key: "k1"}
	return grant, k.Check("", grant)
}

func (k *fakeKeys) Check(siskin.ServiceName, siskin.KeyGrant) error {
	if k.withdrawn.Load() {
		return siskin.NewError(siskin.KeyWithdrawn, "key k1 is withdrawn").WithRemedy("ask for a new key")
	}
	return nil
}

// fakeLimiter admits every request unless refuse is set.
type fakeLimiter struct {
	refuse   atomic.Bool
	within   atomic.Bool // refusals are within the rate
	admitted atomic.Int64
}

func (l *fakeLimiter) AdmitWait(_ context.Context, customer siskin.CustomerID, n siskin.Requests) siskin.Admission {
	return l.Admit(time.Time{}, customer, n)
}

func (l *fakeLimiter) Admit(time.Time, siskin.CustomerID, siskin.Requests) siskin.Admission {
	if l.refuse.Load() {
		return siskin.Admission{RetryAfter: 250 * time.Millisecond, WithinRate: l.within.Load()}
	}
	l.admitted.Add(1)
	return siskin.Admission{Admitted: true}
}

// fakeQueue admits every request, at once unless hold is set.
type fakeQueue struct{ hold atomic.Pointer[chan struct{}] }

func (q *fakeQueue) Queue(siskin.TargetID, siskin.Slot) relay.Queue { return q }

func (q *fakeQueue) Acquire(context.Context, siskin.CustomerID, int, time.Time) (func(), error) {
	if hold := q.hold.Load(); hold != nil {
		<-*hold
	}
	return func() {}, nil
}
