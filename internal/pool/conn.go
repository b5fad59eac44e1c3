package pool

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/pkg/invar"
)

var (
	idleAndReset = invar.New("PooledConnIdleAndReset")
	oneOwner     = invar.New("ConnHasOneOwner")
)

// resetQuery and probeQuery are the pool's own statements, encoded once.
var (
	resetQuery = encodeQuery("DISCARD ALL")
	probeQuery = encodeQuery("")
)

func encodeQuery(sql string) []byte {
	b, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		panic(err) // constant input
	}
	return b
}

// connState is what a connection is used for.
type connState int

const (
	connIdle connState = iota
	connBusy
	connResetting
	connProbing
	connClosed
)

// Conn is a connection to a target. Between Get and Recycle or Close it belongs
// to one request, which may use its fields.
type Conn struct {
	net.Conn
	R *frame.Reader
	W *frame.Writer

	slot             *slot
	account          Account
	generation       int
	writerGeneration int
	processID        uint32
	secret           []byte
	openedAt         time.Time
	lastReadAt       atomic.Int64 // time of the last read that returned bytes
	readingSince     atomic.Int64 // when the read in progress began, zero without one
	streaming        atomic.Bool
	silent           atomic.Bool
	socket           *socket // nil when the connection is no plain socket

	// Guarded by slot.mu.
	state       connState
	owner       uint64
	lastHeardAt time.Time
	idleSince   time.Time
	leasedAt    time.Time // when the present request got the connection
	// lostRead is the read, as in reading, to which the target said at lostAt that
	// it has no statement of the connection; zero when it did not.
	lostRead int64
	lostAt   time.Time
}

func newConn(s *slot, account Account, o DialedConn, now time.Time) *Conn {
	c := &Conn{
		Conn: o.Conn, W: frame.NewWriter(o.Conn),
		slot: s, account: account, processID: o.ProcessID, secret: o.Secret,
		openedAt: now, lastHeardAt: now, idleSince: now,
	}
	c.R = frame.NewReader(c)
	c.socket = newSocket(o.Conn)
	c.lastReadAt.Store(now.UnixNano())
	return c
}

// Read implements net.Conn and keeps the time of the last byte.
func (c *Conn) Read(b []byte) (int, error) {
	c.readingSince.Store(c.slot.pool.clock.Now().UnixNano())
	n, err := c.Conn.Read(b)
	c.readingSince.Store(0)
	if n > 0 {
		c.lastReadAt.Store(c.slot.pool.clock.Now().UnixNano())
	}
	return n, err
}

// SetDeadline implements net.Conn. It does not extend the wait on a connection
// that was given up as silent.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.Conn.SetDeadline(t); err != nil {
		return err
	}
	return c.reapplyAbort()
}

// SetReadDeadline implements net.Conn like SetDeadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil {
		return err
	}
	return c.reapplyAbort()
}

// reapplyAbort runs after a deadline was set. giveUp sets silent first, so one of
// the two ends the wait.
func (c *Conn) reapplyAbort() error {
	if c.silent.Load() {
		return c.Conn.SetReadDeadline(longAgo)
	}
	return nil
}

// abortRead ends the wait for an answer.
func (c *Conn) abortRead() {
	c.silent.Store(true)
	_ = c.Conn.SetReadDeadline(longAgo) // fails only when closed already
}

func (c *Conn) lastRead() time.Time { return time.Unix(0, c.lastReadAt.Load()) }

// Silent reports whether the wait on the connection was ended because the
// connection went silent.
func (c *Conn) Silent() bool { return c.silent.Load() }

// SetStreaming says whether the answer is read while the batch is still being
// sent. The target may then wait for the rest of a message, which does not show
// that the connection is silent.
func (c *Conn) SetStreaming(streaming bool) { c.streaming.Store(streaming) }

// Target returns the target that the connection leads to.
func (c *Conn) Target() siskin.TargetID { return c.slot.key.Target }

// CheckOwner asserts that the connection belongs to the given request.
func (c *Conn) CheckOwner(owner uint64) bool {
	c.slot.mu.Lock()
	defer c.slot.mu.Unlock()
	ok := c.owner == owner && c.state == connBusy
	if !ok { // the arguments of a check allocate
		oneOwner.Check(false, "connection of request %d (state %d) used by request %d", c.owner, c.state, owner)
	}
	return ok
}

// Recycle resets the session state and returns the connection to the pool. The
// target must have reported idle, and every response must have been read. A
// connection that cannot be reset is closed.
func (c *Conn) Recycle(owner uint64) {
	s := c.slot
	mustClose, needsReset, ok := c.endUse(owner)
	if !ok {
		return
	}
	if mustClose || (needsReset && !c.roundTrip(resetQuery, resetTimeout)) {
		s.remove(c, nil)
		return
	}
	s.put(c)
}

// endUse takes the connection from a request. It reports whether the connection
// is to be closed, whether it needs a reset, and false for ok when the request
// does not have it.
func (c *Conn) endUse(owner uint64) (mustClose, needsReset, ok bool) {
	s := c.slot
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.owner != owner || c.state != connBusy {
		oneOwner.Check(c.state == connClosed, "connection of request %d (state %d) returned by request %d", c.owner, c.state, owner)
		return false, false, false
	}
	s.endLease(c, connResetting)
	mustClose = s.draining || s.isStale(c) || c.R.Buffered() > 0 || c.R.Left() > 0 || c.W.Buffered() > 0
	if !s.cfg.Stateless {
		return mustClose, true, true
	}
	return mustClose || c.SetDeadline(time.Time{}) != nil, false, true
}

// Close closes the connection; cause is nil when it is not the target's fault.
func (c *Conn) Close(cause error) { c.slot.remove(c, cause) }

// CloseOlder closes the connection and those idle ones of its account in its
// slot that were not opened after it. It is for a fault of the target that lies
// between the opening of the connection and now.
func (c *Conn) CloseOlder() {
	s := c.slot
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(c)
	for _, other := range slices.Clone(s.idle[c.account]) {
		if !other.openedAt.After(c.openedAt) {
			s.removeLocked(other)
		}
	}
	s.openMissing()
}

// roundTrip runs a statement without rows and reports whether the target then
// was idle outside a transaction.
func (c *Conn) roundTrip(query []byte, timeout time.Duration) bool {
	return c.simpleQuery(query, timeout, func(typ byte, _ []byte) bool { return typ != 'E' })
}

// Cancel asks the target to end the statement that runs on the connection.
func (c *Conn) Cancel(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(c.slot.pool.ctx, timeout)
	defer cancel()
	return c.slot.pool.dialer.Cancel(ctx, c.slot.address(), c.processID, c.secret)
}
