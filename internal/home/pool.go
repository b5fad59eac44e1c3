package home

import (
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/speed"
	"siskintray.example/siskin/pkg/fairq"
)

const (
	// connectTimeout limits the time to open a connection. A target takes up to
	// 30 ms; a lost SYN packet is sent again after a second.
	connectTimeout = 400 * time.Millisecond
	// unreachableBackoff is the time in which a target that could not be
	// reached is not tried again, so that requests fail at once instead of
	// waiting.
	unreachableBackoff = 300 * time.Millisecond
	// spareRunning is the number of statements sent to a target beyond its
	// slots. One keeps the slots busy during the round trip.
	spareRunning = 1
	// maxRetryAfter is the latest time to retry that a queue states. The entry VM
	// knows the route, and for how long its answer is of use.
	maxRetryAfter = 2 * time.Second
	// connPollInterval is the time between two checks for a connection while a
	// target refuses more of them.
	connPollInterval = 15 * time.Millisecond
	// conflictBackoff is the time in which a target is not tried again after
	// another target answered at its address.
	conflictBackoff = time.Second
)

// pool holds the queue and the connections of one target.
type pool struct {
	clock     siskin.Clock
	created   time.Time
	connector siskin.TargetConnector
	report    *connReport
	// spawn runs a function in the background unless this VM stops.
	spawn    func(func()) bool
	queue    *fairq.Queue
	control  control
	writes   writes
	refusals refusals
	renewal  renewal
	receipts receipts
	speed    *speed.Target

	mu          sync.Mutex
	info        siskin.TargetInfo
	limit       int // maximum number of open connections
	open        int // number of connections open or being opened
	connLimiter connLimiter
	idle        []*conn
	waiters     connQueue
	wake        chan struct{} // closed when a connection becomes idle or is closed
	avoidUntil  time.Time
	failedAt    time.Time // last time that a connection broke or could not be opened
	closing     bool
	opened      int64 // number of connections opened since the pool was created
	// reportedAt is the last report that another home could not reach the
	// target.
	reportedAt time.Time
}

func newPool(clock siskin.Clock, connector siskin.TargetConnector, report *connReport, info siskin.TargetInfo, limit int) *pool {
	l := &pool{
		clock: clock, created: clock.Now(), connector: connector, report: report, info: info, limit: limit, wake: make(chan struct{}),
		queue: fairq.New(clock, info.Slots+spareRunning, fairq.WithReserve(0), fairq.WithMaxRetryAfter(maxRetryAfter)),
	}
	l.speed = l.newSpeed()
	return l
}

// update applies an entry of service discovery. Connections to an earlier run
// or address of the target are closed.
func (l *pool) update(info siskin.TargetInfo, limit int) {
	l.mu.Lock()
	var stale, extra []*conn
	if info.Address != l.info.Address || !info.StartedAt.Equal(l.info.StartedAt) {
		stale = l.takeIdle()
	}
	l.updateSpeed(&info, &l.info)
	l.info, l.limit = info, limit
	for len(l.idle) > 0 && l.open > l.limit {
		extra = append(extra, l.idle[0])
		l.idle = l.idle[1:]
		l.open--
	}
	l.mu.Unlock()
	closeAll(stale, suspect)
	closeAll(extra, surplus)
}

func (l *pool) takeIdle() []*conn {
	taken := l.idle
	l.idle = nil
	l.open -= len(taken)
	return taken
}

func closeAll(list []*conn, reason closeReason) {
	for _, c := range list {
		c.closeFor(reason)
	}
}

// connClosed records that a connection of the customer is no longer open, so that
// a waiting request may open another.
func (l *pool) connClosed(customer siskin.CustomerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.waiters.release(customer)
	l.changed()
}

// changed serves waiting requests after a connection became idle or was closed,
// and wakes status requests. The caller holds mu.
func (l *pool) changed() {
	l.serveWaiters()
	close(l.wake)
	l.wake = make(chan struct{})
}

// inUse reports whether any connection for callers is open.
func (l *pool) inUse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open > 0
}

// target returns the id of the pool's target.
func (l *pool) target() siskin.TargetID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.info.ID
}

// put returns a connection to the pool after its last answer was read
// completely. If that may be a repetition of an earlier one, the connection
// returns once it is settled.
func (l *pool) put(c *conn) {
	c.usedAt = l.clock.Now()
	if c.unsettled == nil {
		l.putUnused(c)
		return
	}
	settle := func() {
		if err := c.settle(time.Now().Add(pingTimeout)); err != nil {
			l.drop(c, outOfStep)
			return
		}
		l.putUnused(c)
	}
	if !l.spawn(settle) {
		l.drop(c, stopped)
	}
}

// putUnused returns a connection to the pool when nothing was sent on it since
// it was taken.
func (l *pool) putUnused(c *conn) {
	l.mu.Lock()
	if l.closing || l.open > l.limit {
		l.mu.Unlock()
		l.drop(c, surplus)
		return
	}
	l.idle = append(l.idle, c)
	l.waiters.release(c.customer)
	l.changed()
	l.mu.Unlock()
}

// drop closes a connection.
func (l *pool) drop(c *conn, reason closeReason) {
	c.closeFor(reason)
	l.connClosed(c.customer)
}

// dropIdle closes the idle connections after another one failed: they may be
// broken too, or belong to an earlier run of the target.
func (l *pool) dropIdle(reason closeReason) {
	l.mu.Lock()
	stale := l.takeIdle()
	l.changed()
	l.mu.Unlock()
	closeAll(stale, reason)
}

func (l *pool) close() {
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	l.dropIdle(stopped)
	l.control.mu.Lock()
	defer l.control.mu.Unlock()
	if l.control.c != nil {
		l.dropControl(stopped)
	}
}

// load returns the number of queued and running statements.
func (l *pool) load() int {
	s := l.queue.Stats()
	return s.Running + s.Waiting
}

func (l *pool) counts() (open, idle int, opened int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open, len(l.idle), l.opened
}
