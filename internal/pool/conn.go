package pool

import (
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/pkg/invar"
)

var (
	idleAndReset = invar.New("PooledConnIdleAndReset")
	oneOwner     = invar.New("ConnHasOneOwner")
)

// connState is the current use of a connection.
type connState int

const (
	connIdle connState = iota
	connBusy
	connResetting
	connProbing
	connClosed
)

// Conn is a connection to a target. Between Get and Recycle or Close it is
// leased to one request, which may use its exported fields.
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
	lastReadAt       atomic.Int64 // time of the last read that returned data, in Unix nanoseconds
	readingSince     atomic.Int64 // start of the read in progress in Unix nanoseconds, or zero
	streaming        atomic.Bool
	silent           atomic.Bool
	socket           *socket // nil if the connection is not a plain socket

	// Guarded by slot.mu.
	state       connState
	owner       uint64
	lastHeardAt time.Time
	idleSince   time.Time
	leasedAt    time.Time // when the current request leased the connection
	// lostRead is the value of readingSince for which the target reported at
	// lostAt that it has no statement of the connection in progress; zero if it
	// did not.
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

// Read implements net.Conn and records the time of received data.
func (c *Conn) Read(b []byte) (int, error) {
	c.readingSince.Store(c.slot.pool.clock.Now().UnixNano())
	n, err := c.Conn.Read(b)
	c.readingSince.Store(0)
	if n > 0 {
		c.lastReadAt.Store(c.slot.pool.clock.Now().UnixNano())
	}
	return n, err
}

// SetDeadline implements net.Conn. It does not extend a read that was aborted
// because the connection is silent.
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

// reapplyAbort must be called after a deadline was set. abortRead sets silent
// before its own deadline, so one of the two aborts the read.
func (c *Conn) reapplyAbort() error {
	if c.silent.Load() {
		return c.Conn.SetReadDeadline(longAgo)
	}
	return nil
}

// abortRead aborts the read in progress and all later ones.
func (c *Conn) abortRead() {
	c.silent.Store(true)
	_ = c.Conn.SetReadDeadline(longAgo) // fails only when closed already
}

func (c *Conn) lastRead() time.Time { return time.Unix(0, c.lastReadAt.Load()) }

// Silent reports whether reads were aborted because the connection is silent.
func (c *Conn) Silent() bool { return c.silent.Load() }

// SetStreaming sets whether the answer is read while the batch is still being
// sent. The target may then wait for the rest of a message, so a quiet
// connection is no sign of a silent one.
func (c *Conn) SetStreaming(streaming bool) { c.streaming.Store(streaming) }

// Target returns the target of the connection.
func (c *Conn) Target() siskin.TargetID { return c.slot.key.Target }

// CheckOwner asserts that the connection is leased to the given request.
func (c *Conn) CheckOwner(owner uint64) bool {
	c.slot.mu.Lock()
	defer c.slot.mu.Unlock()
	ok := c.owner == owner && c.state == connBusy
	if !ok { // only here, since the arguments of Check are allocated
		oneOwner.Check(false, "connection of request %d (state %d) used by request %d", c.owner, c.state, owner)
	}
	return ok
}

// Recycle resets the session state and returns the connection to the pool. The
// target must have reported the idle status, and every response must have been
// read. A connection that cannot be reset is closed.
func (c *Conn) Recycle(owner uint64) {
	s := c.slot
	mustClose, needsReset, ok := c.endUse(owner)
	if !ok {
		return
	}
	if mustClose || (needsReset && !c.reset()) {
		s.remove(c, nil)
		return
	}
	s.put(c)
}

// endUse ends the lease of a request. It reports whether the connection must be
// closed and whether it needs a reset; ok is false if the connection is not
// leased to the request.
func (c *Conn) endUse(owner uint64) (mustClose, needsReset, ok bool) {
	s := c.slot
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.owner != owner || c.state != connBusy {
		oneOwner.Check(c.state == connClosed, "connection of request %d (state %d) returned by request %d", c.owner, c.state, owner)
		return false, false, false
	}
	s.endLease(c, connResetting)
	mustClose = s.draining || s.isStale(c) || c.R.Buffered() > 0 || c.R.Remaining() > 0 || c.W.Buffered() > 0
	if !s.cfg.Stateless {
		return mustClose, true, true
	}
	return mustClose || c.SetDeadline(time.Time{}) != nil, false, true
}

// Close closes the connection. The cause is nil if the target is not at fault.
func (c *Conn) Close(cause error) { c.slot.remove(c, cause) }

// CloseOlder closes the connection and the idle connections of its account and
// slot that were opened at the same time or earlier. It is used after a fault
// of the target that occurred since the connection was opened.
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

// Cancel asks the target to cancel the statement in progress on the connection.
func (c *Conn) Cancel(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(c.slot.pool.ctx, timeout)
	defer cancel()
	return c.slot.pool.dialer.Cancel(ctx, c.slot.address(), c.processID, c.secret)
}
