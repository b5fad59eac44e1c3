package elect

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/lease"
	"siskintray.example/siskin/internal/roster"
	"siskintray.example/siskin/internal/table"
	"siskintray.example/siskin/internal/views"
	"siskintray.example/siskin/pkg/place"
)

// checkInterval is the time between two checks of a service.
const checkInterval = 100 * time.Millisecond

// Config holds what an Elector depends on.
type Config struct {
	Clock    siskin.Clock
	Members  siskin.Members
	Peers    siskin.Peers
	Table    *table.Table
	Roster   *roster.Roster
	Views    *views.Views
	Homes    *home.Homes
	Store    siskin.Store
	Promoter siskin.Promoter
	Run      siskin.Incarnation // of this VM, stored with its fencing tokens
	// ListState says how far the list of targets can be relied on.
	ListState func() siskin.ListState
	// Fencing reports that the platform refuses a fencing token lower than one
	// it has seen, and that a promotion demotes the former primary. Otherwise
	// this package orders the changes and makes the former primary step down.
	Fencing bool
	Leases  *lease.Leases
	// Status decodes the answer to a control statement.
	Status func(*siskin.Answer) (siskin.ControlStatus, error)
	Log    *log.Logger
	// Changed is called after each change of primary with its duration.
	Changed func(took time.Duration)
}

// Elector watches the services whose primary this VM is the home of.
type Elector struct {
	cfg    Config
	tokens tokenReserve
	// ranker caches ranks because each service is checked several times a
	// second.
	ranker place.Ranker
	ctx    context.Context // ends at Close
	stop   context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.Mutex
	services map[siskin.ServiceName]*watch
}

// watch is the state of one service that this VM watches.
type watch struct {
	watchedSince time.Time // zero while another VM watches it
	probing      bool
	changing     bool
	nextChange   time.Time   // earliest start of the next change
	failures     int         // consecutive failed changes
	ownTerm      siskin.Term // of the last claims; see change.ownTerm
	lastProbe    probe
	// unconfirmedSince is the time since which the primary answers although its
	// replicas are claimed or follow another target. It is zero if they do not.
	unconfirmedSince time.Time
	tokenRenewed     time.Time // last renewal of the fencing token for a new term
	coverAfter       time.Time // earliest next attempt to cover departures
}

// coverInterval is the time between two attempts to cover the departures of a
// service.
const coverInterval = 500 * time.Millisecond

// Start starts to watch the services.
func Start(cfg Config) *Elector {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Elector{cfg: cfg, stop: cancel, services: make(map[siskin.ServiceName]*watch)}
	e.tokens.e = e
	e.ctx = ctx
	e.tasks.Go(func() { e.loop(ctx) })
	e.tasks.Go(func() {
		select {
		case <-e.ctx.Done():
		case <-e.cfg.Clock.After(fleetDiscoveryTime):
			e.refreshToken(0)
		}
	})
	return e
}

// fleetDiscoveryTime is the time in which a starting VM discovers the size of
// the fleet.
const fleetDiscoveryTime = 1500 * time.Millisecond

// Close stops watching and waits for all goroutines.
func (e *Elector) Close() error {
	e.stop()
	e.tasks.Wait()
	return nil
}

func (e *Elector) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.cfg.Clock.After(checkInterval):
		}
		for _, s := range e.cfg.Table.Snapshot().Services {
			e.checkService(ctx, s)
		}
	}
}

// watches reports whether this VM watches a service: it is the home of the
// primary, or ranks first for the service while no primary is known.
func (e *Elector) watches(name siskin.ServiceName, primary siskin.TargetID) bool {
	key, choose := "lead/"+string(name), func(live []siskin.VM) []siskin.VM { return live }
	if t, ok := e.cfg.Roster.Target(primary); ok {
		key, choose = string(t.ID), func(live []siskin.VM) []siskin.VM { return place.PreferDataCentre(t.DataCentre, live) }
	}
	ranked := e.ranker.Rank(key, e.cfg.Members.Live(), choose)
	return len(ranked) > 0 && ranked[0].ID == e.cfg.Members.Self().ID
}

// checkService examines one service and starts a probe or a change if needed.
func (e *Elector) checkService(ctx context.Context, s siskin.ServiceSpec) {
	targets := e.cfg.Roster.Service(s.Name)
	if len(targets) == 0 {
		return
	}
	proof := e.cfg.Views.LatestProof(s.Name)
	primary := proof.Target
	if primary == "" {
		primary = e.cfg.Views.Primary(s.Name, targets)
	}
	now := e.cfg.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.services[s.Name]
	if w == nil {
		w = &watch{}
		e.services[s.Name] = w
	}
	watches := e.watches(s.Name, primary)
	if watches || len(e.cfg.Members.Live()) <= maxReservingVMs {
		e.renewForTerm(s.Name, proof.Term, w, now)
	}
	if !watches {
		w.watchedSince = time.Time{}
		return
	}
	if w.watchedSince.IsZero() {
		w.watchedSince, w.lastProbe = now, probe{}
		e.tasks.Go(func() { e.tokens.fill(ctx) })
	}
	if w.lastProbe.target != primary {
		w.lastProbe, w.unconfirmedSince = probe{target: primary}, time.Time{}
	}
	obs := e.observe(s.Name, primary, targets, proof, w, now)
	if primary != "" && !w.probing && obs.proofAge > probeAfter {
		w.probing = true
		e.tasks.Go(func() { e.probe(ctx, s.Name, primary, w) })
	}
	if primary != "" && !now.Before(w.coverAfter) && e.cfg.Roster.Uncovered(s.Name, now) {
		w.coverAfter = now.Add(coverInterval)
		e.tasks.Go(func() { e.cfg.Homes.CoverDepartures(ctx, s.Name, primary) })
	}
	if w.changing || now.Before(w.nextChange) {
		return
	}
	a := decide(obs)
	if a != handoff && (!e.cfg.Roster.SizesKnown() || e.cfg.ListState() != siskin.ListCurrent) {
		return // missing or new targets would not be counted
	}
	if a != wait {
		w.changing = true
		e.tasks.Go(func() { e.act(ctx, s, primary, a, obs, w) })
	}
}

const (
	// changeBackoff is the delay before the next change of a service. It
	// doubles with each failure and has random jitter, so that two VMs that
	// compete do not block each other.
	changeBackoff        = 200 * time.Millisecond
	maxBackoffDoublings  = 3
	backoffJitterDivisor = 2
)

// finishChange records the result of a change and sets the backoff before the
// next one.
func (e *Elector) finishChange(w *watch, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.changing = false
	backoff := changeBackoff << min(w.failures, maxBackoffDoublings)
	if err != nil {
		w.failures++
	} else {
		w.failures = 0
	}
	w.nextChange = e.cfg.Clock.Now().Add(backoff + rand.N(backoff/backoffJitterDivisor))
}
