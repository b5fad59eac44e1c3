package relay

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/shard"
)

// Home admits and runs the transactions of the slots that this VM owns.
type Home struct {
	Clock   siskin.Clock
	Config  config.View
	Groups  siskin.Groups
	Limiter siskin.Limiter
	// Keys checks the key again after a request was queued, so that nothing is
	// sent for a key that was withdrawn in the meantime. If it is nil, only the
	// entry VM checks keys.
	Keys   siskin.Authenticator
	Queues Queues
	Pool   *pool.Pool
	// Awake reports whether this VM may use its roles. It is false after a
	// pause until the VM has heard from its peers. Nil means always true.
	Awake func() bool
	// ReplicaWait is the maximum wait of a read for a replica to reach its
	// floor, after which the read is sent to another target. Zero means
	// DefaultReplicaWait.
	ReplicaWait time.Duration

	applied        *shard.Map[siskin.TargetID, siskin.Position]
	activeWrites   activeWrites
	leavingTargets leavingTargets
}

// DefaultReplicaWait is slightly above 50 ms, the replication lag at which
// replicas are to serve at least 90% of the reads.
const DefaultReplicaWait = 60 * time.Millisecond

// Init initializes the unexported fields of a Home and returns it.
func (h *Home) Init() *Home {
	if h.ReplicaWait == 0 {
		h.ReplicaWait = DefaultReplicaWait
	}
	h.applied = shard.New[siskin.TargetID, siskin.Position]()
	h.activeWrites = newWrites()
	h.leavingTargets.since = shard.New[siskin.ServiceName, map[siskin.TargetID]time.Time]()
	return h
}

// Begin admits a transaction and leases a connection for it. If it fails,
// nothing of the transaction was sent.
func (h *Home) Begin(hdr *Header) (executor Executor, f *Failure) {
	l := &localExecutor{home: h, hdr: *hdr, status: 'I', connReleased: true, deadline: h.Clock.Now().Add(hdr.Remaining)}
	l.held, l.row = l.heldBuf[:0], l.rowBuf[:0]
	l.ctx = lazyContext{clock: h.Clock, deadline: l.deadline}
	defer func() {
		if executor == nil && f == nil { // a panic: release what begin acquired
			l.Abort(nil)
		}
	}()
	if err := l.begin(); err != nil {
		if l.replaced.Load() {
			err = notPrimaryError(hdr)
		}
		f = unsentFailure(err)
		f.Admitted, f.WithinRate = l.hdr.Admitted, l.withinRate
		l.releaseAll()
		return nil, f
	}
	h.checkLeaving(hdr)
	return l, nil
}

func (l *localExecutor) begin() error {
	h, hdr := l.home, &l.hdr
	if err := l.awaitAwake(); err != nil {
		return err
	}
	service, ok := h.Config.Service(hdr.Service)
	if !ok && h.Config.Revision() == 0 {
		return siskin.NewError(siskin.NotRun, "the home of target %s has no configuration yet", hdr.Target).
			WithRemedy("repeat the request")
	}
	if !ok {
		return unknownRouteError(hdr)
	}
	if l.route, ok = service.Route(hdr.Route); !ok {
		return unknownRouteError(hdr)
	}
	if l.group, ok = h.Groups.Group(hdr.Service); !ok {
		return siskin.NewError(siskin.NotRun, "this VM does not watch the targets of service %s", hdr.Service).
			WithRemedy("repeat the request; it goes to the owner")
	}
	if err := l.admitRate(); err != nil {
		return err
	}
	if err := l.admitTarget(); err != nil {
		return err
	}
	releaseQueue, err := h.Queues.Queue(hdr.Target, hdr.Slot).Acquire(&l.ctx, hdr.Customer, l.customerWeight(), l.deadline)
	if err != nil {
		return err
	}
	l.releaseQueue = releaseQueue
	key := pool.Key{Target: hdr.Target, Slot: hdr.Slot}
	conn, err := h.Pool.Get(&l.ctx, key, pool.AccountFor(l.route.Mode), hdr.Request)
	if err != nil {
		return err
	}
	if err := l.useConn(conn); err != nil {
		return err
	}
	if l.route.Mode == config.ReadRoute && l.route.MaxAge == 0 {
		if err := l.awaitFloor(); err != nil {
			return err
		}
	}
	if err := l.refuseLeaving(); err != nil {
		return err
	}
	if !h.isAwake() {
		return pausedError() // the values read above may be outdated
	}
	return l.checkKey()
}

// checkKey rejects a request whose key is known to be withdrawn. A key that
// this VM does not know may be newer than its configuration and is accepted.
func (l *localExecutor) checkKey() error {
	if l.home.Keys == nil || l.hdr.Key == "" {
		return nil
	}
	err := l.home.Keys.Check(l.hdr.Service, siskin.KeyGrant{Customer: l.hdr.Customer, Key: l.hdr.Key})
	if err != nil && siskin.KindOf(err) == siskin.KeyWithdrawn {
		return err
	}
	return nil
}

func unknownRouteError(hdr *Header) error {
	return siskin.NewError(siskin.UnknownRoute, "service %s has no route %s", hdr.Service, hdr.Route).
		WithRemedy("connect to a database named service/route that the configuration has")
}

// admitRate charges the request to the customer's rate, once for all attempts.
func (l *localExecutor) admitRate() error {
	if l.hdr.Admitted {
		return nil
	}
	a := l.home.Limiter.AdmitWait(&l.ctx, l.hdr.Customer, 1)
	if !a.Admitted {
		l.withinRate = a.WithinRate
		return siskin.NewError(siskin.RateExceeded, "customer %s is over its rate", l.hdr.Customer).
			WithRemedy("send fewer requests or wait for RetryAfter").WithRetryAfter(a.RetryAfter)
	}
	l.hdr.Admitted = true
	return nil
}

func (l *localExecutor) customerWeight() int {
	if c, ok := l.home.Config.Customer(l.hdr.Customer); ok {
		return max(c.Weight, 1)
	}
	return 1
}

// admitTarget checks that the target may currently serve the route. It
// registers a write, and samples the floor of a read with SampleFloor set.
func (l *localExecutor) admitTarget() error {
	if l.route.Mode == config.WriteRoute {
		primary, term, endWrite, err := l.group.AdmitWrite(&l.ctx)
		if err != nil {
			return err
		}
		l.endWrite = endWrite
		if !l.home.activeWrites.add(l, term) {
			return notPrimaryError(&l.hdr)
		}
		if primary != l.hdr.Target {
			return siskin.NewError(siskin.NotRun, "target %s is not the primary", l.hdr.Target).
				WithRemedy("repeat the request; it goes to the primary")
		}
		return nil
	}
	view := l.group.View()
	t, ok := view.Target(l.hdr.Target)
	if !ok || t.Status.Leaving {
		return siskin.NewError(siskin.NotRun, "target %s takes no new work", l.hdr.Target).
			WithRemedy("repeat the request; it goes to another target")
	}
	if age := l.route.MaxAge.Std(); age > 0 {
		if l.hdr.Target != view.Primary && (t.Staleness < 0 || t.Staleness > age) {
			return staleDataError(l.hdr.Target)
		}
		return nil
	}
	if !l.hdr.SampleFloor {
		return nil
	}
	floor, err := l.group.Floor(&l.ctx)
	if err != nil {
		return err
	}
	l.hdr.Floor = floor
	return nil
}

func staleDataError(target siskin.TargetID) error {
	return siskin.NewError(siskin.NotRun, "data of target %s is too old for the read", target).
		WithRemedy("repeat the request; it goes to another target")
}

// releaseAll releases everything that begin acquired, including the connection.
func (l *localExecutor) releaseAll() {
	l.recycleConn()
	l.releaseAdmission()
}

func (l *localExecutor) releaseAdmission() {
	l.mu.Lock()
	releaseQueue, endWrite := l.releaseQueue, l.endWrite
	l.releaseQueue, l.endWrite = nil, nil
	l.mu.Unlock()
	l.home.activeWrites.remove(l)
	if releaseQueue != nil {
		releaseQueue()
	}
	if endWrite != nil {
		endWrite()
	}
	l.ctx.end()
}
