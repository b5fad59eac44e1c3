package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/memory"
	"siskintray.example/siskin/internal/views"
	"siskintray.example/siskin/pkg/shard"
)

// Config holds the dependencies of Homes.
type Config struct {
	Clock     siskin.Clock
	Connector siskin.TargetConnector
	Views     *views.Views
	// Target returns the entry of a target in service discovery.
	Target func(siskin.TargetID) (siskin.TargetInfo, bool)
	// Limit returns the maximum number of connections that this VM may open to
	// a target.
	Limit func(siskin.TargetInfo) int
	// IsHome reports whether this VM is the home of a target.
	IsHome func(siskin.TargetInfo) bool
	// Closed reports whether statements of callers must not be sent to a
	// target. It may be nil.
	Closed func(siskin.TargetID) bool
	// MayBeCold reports whether a target may be cold. The target has been in
	// use since the time opened; failed is the time of its last failure, or
	// zero. AdmitCold takes a statement from the rate limit that the cold
	// targets of a service share. Both may be nil.
	MayBeCold func(t siskin.TargetInfo, opened, failed time.Time) bool
	AdmitCold func(context.Context, siskin.ServiceName) siskin.Admission
	// Lateness returns the expected delay of goroutines while this VM is
	// overloaded, or zero. It may be nil.
	Lateness func() time.Duration
	// Memory bounds the statements on their way to targets. It may be nil.
	Memory *memory.Account
	// Log and Metrics may be nil.
	Log     *log.Logger
	Metrics *Metrics
	// LeaseConfig is nil if a replaced target is known to refuse plain
	// transactions.
	LeaseConfig *LeaseConfig
}

// Homes runs statements on targets. It is safe for concurrent use.
type Homes struct {
	cfg    Config
	pools  *shard.Map[siskin.TargetID, *pool]
	txs    *shard.Map[TxID, *tx]
	nextTx atomic.Uint64
	report *connReport
	active atomic.Int32 // calls of Run in progress
	stop   chan struct{}
	done   sync.WaitGroup
	// shutdown is nil until a planned stop begins.
	shutdown atomic.Pointer[Shutdown]

	mu     sync.Mutex // guards closed, so that no goroutine starts after Close
	closed bool
}

// New returns Homes and starts the goroutine that rolls back idle transactions.
func New(cfg Config) *Homes {
	if cfg.Metrics == nil {
		cfg.Metrics = noMetrics
	}
	h := &Homes{
		cfg: cfg, pools: shard.New[siskin.TargetID, *pool](), txs: shard.New[TxID, *tx](),
		stop: make(chan struct{}), report: newConnReport(&cfg),
	}
	// A restarted VM must not reuse the ids of its earlier run.
	h.nextTx.Store(uint64(cfg.Clock.Now().UnixNano()))
	h.done.Go(h.reap)
	return h
}

// Shutdown begins a planned stop. Statements that cannot end in time are not
// sent, and their transactions are rolled back.
func (h *Homes) Shutdown(s Shutdown) { h.shutdown.Store(&s) }

// admit limits the time of a request during a planned stop, and reports whether
// it may be sent.
func (h *Homes) admit(req *Request) bool {
	s := h.shutdown.Load()
	if s == nil {
		return true
	}
	timeout, ok := s.Admit(h.cfg.Clock.Now(), req.Statement.Kind, req.Mode != Single, req.Timeout)
	req.Timeout, req.QueueTimeout = timeout, min(req.QueueTimeout, timeout)
	return ok
}

// Close ends all transactions, closes all connections and waits for background
// goroutines.
func (h *Homes) Close() error {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	close(h.stop)
	h.done.Wait()
	h.txs.Range(func(id TxID, t *tx) bool {
		h.abandon(id, t)
		return true
	})
	h.pools.Range(func(_ siskin.TargetID, l *pool) bool {
		l.close()
		return true
	})
	return nil
}

// spawn runs f in the background unless Close was called, and reports whether
// it did.
func (h *Homes) spawn(f func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.done.Go(f)
	}
	return !h.closed
}

// Update applies the state of service discovery to all pools.
func (h *Homes) Update() {
	h.pools.Range(func(id siskin.TargetID, l *pool) bool {
		if info, ok := h.cfg.Target(id); ok {
			l.update(info, h.cfg.Limit(info))
			l.trim(h.cfg.Clock.Now(), !h.cfg.IsHome(info))
			l.showSpeed(id)
			h.recordSpeed(info, l)
			return true
		}
		h.pools.Delete(id)
		l.close()
		h.cfg.Metrics.speeds.remove(id)
		if h.cfg.LeaseConfig != nil {
			h.cfg.LeaseConfig.Leases.Forget(id)
		}
		return true
	})
}

// Loads returns the number of queued and running statements at each target in
// use.
func (h *Homes) Loads() map[siskin.TargetID]int {
	loads := make(map[siskin.TargetID]int)
	h.pools.Range(func(id siskin.TargetID, l *pool) bool {
		loads[id] = l.load()
		return true
	})
	return loads
}

// Counts holds current totals over all targets in use on a VM.
type Counts struct {
	Open, Idle, Waiting, Transactions, Active int
	Opened                                    int64
}

// Counts returns the current totals.
func (h *Homes) Counts() Counts {
	n := Counts{Transactions: h.txs.Len(), Active: int(h.active.Load())}
	h.pools.Range(func(_ siskin.TargetID, l *pool) bool {
		open, idle, opened := l.counts()
		n.Open += open
		n.Idle += idle
		n.Opened += opened
		n.Waiting += l.queue.Stats().Waiting
		return true
	})
	return n
}

func (h *Homes) pool(id siskin.TargetID) (*pool, bool) {
	if l, ok := h.pools.Get(id); ok {
		return l, true
	}
	info, ok := h.cfg.Target(id)
	if !ok {
		return nil, false
	}
	return h.pools.GetOrCreate(id, func() *pool {
		l := newPool(h.cfg.Clock, h.cfg.Connector, h.report, info, h.cfg.Limit(info))
		l.spawn = h.spawn
		return l
	}), true
}

// evacuated reports whether statements of callers must not be sent to a target.
// It is checked just before each one is sent, since statements wait for a slot
// and a connection.
func (h *Homes) evacuated(id siskin.TargetID) bool { return h.cfg.Closed != nil && h.cfg.Closed(id) }

// Run runs one statement.
func (h *Homes) Run(ctx context.Context, req *Request) Reply {
	h.active.Add(1)
	defer h.active.Add(-1)
	if !h.admit(req) {
		return h.refuse(req, Unknown) // as at a VM that does not serve the target
	}
	var hold memory.Hold
	defer hold.Release()
	if !h.charge(req, &hold) {
		return h.refuse(req, Overload)
	}
	reply := h.run(ctx, req)
	replaceDropped(req, &reply)
	return reply
}

func (h *Homes) run(ctx context.Context, req *Request) Reply {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	if req.Mode == Continue {
		return h.continueTx(ctx, req)
	}
	connPool, ok := h.pool(req.Target)
	if !ok {
		return Reply{Cause: Unknown}
	}
	if !h.startsInTime(req) {
		return Reply{Cause: Overload}
	}
	if req.Unreachable {
		connPool.recordReport()
	}
	r := &run{h: h, connPool: connPool, req: req, start: h.cfg.Clock.Now()}
	r.deadline = time.Now().Add(req.Timeout)
	reply := r.do(ctx)
	reply.Load, reply.Speed = connPool.load(), connPool.speed.Report(req.SpeedKind(), h.cfg.Clock.Now())
	return reply
}
