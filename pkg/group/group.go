package group

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"siskintray.example/siskin"
)

// Group monitors one replication group for one VM and changes its primary after
// a failure. It implements siskin.Group.
type Group struct {
	settings          Settings
	dialer            siskin.TargetDialer
	clock             siskin.Clock
	log               *log.Logger
	rank              func() int
	awake             func() bool
	watcher           func() bool
	statementActivity func(siskin.TargetID) (quiet, last time.Time)
	rng               *rand.Rand

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	startMu sync.Mutex // serializes start and Close
	pool    pond.Pool  // runs actions and floor samples
	events  chan event
	peers   []*peer

	tracker   *tracker
	floor     floor
	admission atomic.Pointer[admission]
	writes    atomic.Int64 // admitted transactions that have not ended
	writeDone func()
	passive   atomic.Bool // copy of machine.passive for readers that do not hold mu

	mu        sync.RWMutex // guards the fields below
	machine   *machine
	samples   samples
	published siskin.GroupView
	changed   chan struct{}
	// activeUntil is when a VM that is not a watcher stops probing, and
	// activated is closed when it starts to probe.
	activeUntil time.Time
	activated   chan struct{}
	// refusedAt is when a caller reported that the primary refused a write as
	// not run; zero if the primary has answered a probe since.
	refusedAt      time.Time
	requestsMu     sync.Mutex
	requestResults map[int]chan error // operators' requests in progress
	lastRequest    int
}

var _ siskin.Group = (*Group)(nil)

// New returns a Group that monitors the targets until it is closed.
func New(s Settings, dialer siskin.TargetDialer, opts ...Option) (*Group, error) {
	s, err := s.withDefaults()
	if err != nil {
		return nil, err
	}
	g := &Group{
		settings: s, dialer: dialer, clock: clockwork.NewRealClock(), log: &log.Logger{Level: log.PanicLevel},
		rank: func() int { return 0 }, awake: func() bool { return true },
		watcher: func() bool { return true }, statementActivity: func(siskin.TargetID) (quiet, last time.Time) { return time.Time{}, time.Time{} },
		activated: make(chan struct{}), rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		events: make(chan event, 64), tracker: newTracker(&s), changed: make(chan struct{}),
		requestResults: make(map[int]chan error),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.writeDone = func() { g.writes.Add(-1) }
	g.machine = newMachine(s, g.rng)
	g.activeUntil = g.clock.Now().Add(s.suspectTimeout())
	g.ctx, g.cancel = context.WithCancel(context.Background())
	// Each target has at most a probe, a claim, a drain or wait and a floor
	// sample in progress.
	g.pool = pond.NewPool(6 * len(s.Members))
	g.publish(g.clock.Now())
	for i, m := range s.Members {
		p := newPeer(g, i, m)
		g.peers = append(g.peers, p)
		g.start(p.probeLoop)
		g.start(p.confirmLoop)
	}
	g.start(g.run)
	return g, nil
}

// start runs f in a goroutine that Close waits for. It returns false after
// Close.
func (g *Group) start(f func()) bool {
	g.startMu.Lock()
	defer g.startMu.Unlock()
	if g.ctx.Err() != nil {
		return false
	}
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		f()
	}()
	return true
}

// Close cancels all calls and waits for them to return.
func (g *Group) Close() error {
	g.startMu.Lock()
	g.cancel()
	g.startMu.Unlock()
	g.wg.Wait()
	g.pool.StopAndWait()
	for _, p := range g.peers {
		p.close()
	}
	return nil
}

// run passes events and ticks to the machine until the group is closed.
func (g *Group) run() {
	for {
		g.mu.RLock()
		now := g.clock.Now()
		wait := g.machine.nextTick(now).Sub(now)
		g.mu.RUnlock()
		select {
		case e := <-g.events:
			g.handle(e)
		case <-g.clock.After(max(wait, time.Millisecond)):
			g.handle(event{kind: evTick})
		case <-g.ctx.Done():
			return
		}
	}
}

// post sends an event to the machine and its status, if any, to the tracker.
func (g *Group) post(e event) {
	if e.hasStatus {
		g.tracker.observe(e.status)
	}
	select {
	case g.events <- e:
	case <-g.ctx.Done():
	}
}

// handle runs one step of the machine and its actions.
func (g *Group) handle(e event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	m := g.machine
	m.pendingSince = g.tracker.oldestArrival()
	m.rank = g.rank()
	m.resuming = !g.awake()
	g.setPassive(now, e)
	term := m.term
	actions := m.step(now, e)
	if e.hasStatus && e.kind != evRemoteStatus && e.target == m.primary {
		if e.status.Role == siskin.RolePrimary && e.status.StreamTerm == m.term && e.kind == evStatus {
			g.samples.add(siskin.Position{Term: m.term, LSN: e.status.Received}, e.askedAt)
		}
		if !e.askedAt.Before(g.refusedAt) {
			g.refusedAt = time.Time{}
		}
	}
	g.samples.confirm(g.tracker.confirmed())
	if m.term != term {
		g.refusedAt = time.Time{}
		g.log.Info().Str("Service", string(g.settings.Service)).Str("Primary", string(m.primary)).
			Uint64("Term", uint64(m.term)).Bool("Own", m.promotedHere).Msg("primary changed")
	}
	g.publish(now)
	for _, a := range actions {
		g.execute(a)
	}
}

// publish updates the admission of writes and, if the view has changed, closes
// the channel of Changed. The caller holds mu, except in New.
func (g *Group) publish(now time.Time) {
	v := g.machine.view(now, &g.samples)
	g.setAdmission(now, &v)
	if sameView(&g.published, &v) {
		return
	}
	g.published = v
	close(g.changed)
	g.changed = make(chan struct{})
}

// View implements siskin.Group.
func (g *Group) View() siskin.GroupView {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.machine.view(g.clock.Now(), &g.samples)
}

// Changed implements siskin.Group.
func (g *Group) Changed() <-chan struct{} {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return g.changed
}
