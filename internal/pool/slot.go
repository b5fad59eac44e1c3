package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// slot holds the connections of one target slot.
type slot struct {
	pool *Pool
	key  Key

	mu               sync.Mutex
	cfg              SlotConfig
	generation       int // incremented when the settings change; older connections are closed
	writerGeneration int // generation of the Full account, see RetireWriters
	idle             [numAccounts][]*Conn
	reservedConn     *Conn // reserved for probes, see reserved.go
	conns            map[*Conn]struct{}
	count            [numAccounts]int // open connections
	busy             [numAccounts]int // connections leased to a request
	opening          [numAccounts]int
	lastCheck        [numAccounts]time.Time // time of the latest session check, see sessioncheck.go
	waiters          []*waiter
	draining         bool
	failures         int // consecutive failed openings
	nextOpen         time.Time
	lastErr          error
	drained          chan struct{} // closed when draining and without connections
	stats            counters
}

type counters struct{ opened, failed, silent int64 }

func (s *slot) address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.Address
}

func (s *slot) size() int { return len(s.conns) + s.opening[Full] + s.opening[ReadOnly] }

// accountSize returns the number of connections of an account, including those
// being opened.
func (s *slot) accountSize(account Account) int { return s.opening[account] + s.count[account] }

func notOwnedError(key Key) error {
	return siskin.NewError(siskin.NotRun, "slot %d of target %s is not owned by this VM", key.Slot, key.Target).
		WithRemedy("repeat the request; it goes to the owner")
}

// acquire returns an idle connection, or a waiter if there is none.
func (s *slot) acquire(account Account, owner uint64) (*Conn, *waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return nil, nil, notOwnedError(s.key)
	}
	if idle := s.idle[account]; len(idle) > 0 {
		c := idle[len(idle)-1]
		s.idle[account] = idle[:len(idle)-1]
		s.lease(c, owner)
		s.openMissing()
		return c, nil, nil
	}
	if s.accountSize(account) == 0 && s.failures > 0 && s.pool.clock.Now().Before(s.nextOpen) {
		return nil, nil, s.unreachableError()
	}
	w := &waiter{account: account, owner: owner, arrivedAt: s.pool.clock.Now(), ready: make(chan result, 1)}
	s.waiters = append(s.waiters, w)
	s.openMissing()
	return nil, w, nil
}

// get leases a connection, and waits for one until ctx ends if none is idle.
func (s *slot) get(ctx context.Context, account Account, owner uint64) (*Conn, error) {
	c, w, err := s.acquire(account, owner)
	if err != nil || c != nil {
		return c, err
	}
	select {
	case r := <-w.ready:
		return r.conn, r.err
	case <-ctx.Done():
	}
	if !s.removeWaiter(w) {
		if r := <-w.ready; r.conn != nil {
			s.mu.Lock()
			s.endLease(r.conn, connResetting) // unused, so it needs no reset
			s.mu.Unlock()
			s.put(r.conn)
		}
	}
	return nil, siskin.NewError(siskin.Overloaded, "no connection of target %s became free before the deadline", s.key.Target).
		WithRemedy("repeat the request later or with a longer deadline").WithRetryAfter(time.Second)
}

func (s *slot) unreachableError() error {
	return siskin.NewError(siskin.NotRun, "target %s cannot be reached", s.key.Target).
		WithRemedy("repeat the request").WithRetryAfter(maxBackoff).WithCause(s.lastErr)
}

func (s *slot) lease(c *Conn, owner uint64) {
	if c.state != connIdle || c.owner != 0 || c.R.Buffered() > 0 || c.W.Buffered() > 0 {
		idleAndReset.Check(false, "connection to %s handed out in state %d of request %d", s.key.Target, c.state, c.owner)
	}
	c.state, c.owner, c.leasedAt = connBusy, owner, s.pool.clock.Now()
	c.SetStreaming(false)
	s.busy[c.account]++
}

// endLease ends the lease of a connection and sets its state.
func (s *slot) endLease(c *Conn, state connState) {
	if c.state == connBusy {
		s.busy[c.account]--
	}
	c.state, c.owner = state, 0
}

// removeWaiter removes a waiter whose context ended and reports whether it was
// still waiting.
func (s *slot) removeWaiter(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.waiters, w)
	if i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
	}
	return i >= 0
}

// put leases a reset connection to the first waiter of its account, or makes it
// idle. A stale connection is closed.
func (s *slot) put(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.isStale(c) || c.state == connClosed {
		s.removeLocked(c)
		s.openMissing()
		return
	}
	now := s.pool.clock.Now()
	c.R.Release()
	s.pool.detectorOf(s.key.Target).recordHeard(c.openedAt, now)
	c.state, c.lastHeardAt, c.idleSince = connIdle, now, now
	i := slices.IndexFunc(s.waiters, func(w *waiter) bool { return w.account == c.account })
	if i >= 0 {
		w := s.waiters[i]
		s.waiters = slices.Delete(s.waiters, i, i+1)
		s.lease(c, w.owner)
		w.ready <- result{conn: c}
	} else if !s.reserve(c) {
		s.idle[c.account] = append(s.idle[c.account], c)
	}
	s.openMissing()
}

// remove closes a connection and removes it from the slot.
func (s *slot) remove(c *Conn, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(c)
	if cause != nil && len(s.conns) == 0 {
		s.lastErr = cause
	}
	s.openMissing()
}

func (s *slot) removeLocked(c *Conn) {
	if c.state == connClosed {
		return
	}
	s.endLease(c, connClosed)
	_ = c.Conn.Close() // nothing is left to be sent
	delete(s.conns, c)
	s.count[c.account]--
	if s.reservedConn == c {
		s.reservedConn = nil
	}
	if i := slices.Index(s.idle[c.account], c); i >= 0 {
		s.idle[c.account] = slices.Delete(s.idle[c.account], i, i+1)
	}
	s.checkDrained()
}

func (s *slot) checkDrained() {
	if s.draining && s.size() == 0 && s.drained != nil {
		close(s.drained)
		s.drained = nil
	}
}

// failWaiters fails the waiters of an account that arrived at or before
// arrivedAt.
func (s *slot) failWaiters(account Account, arrivedAt time.Time, err error) {
	s.waiters = slices.DeleteFunc(s.waiters, func(w *waiter) bool {
		if w.account != account || w.arrivedAt.After(arrivedAt) {
			return false
		}
		w.ready <- result{err: err}
		return true
	})
}

// drain rejects new requests, closes idle connections and returns a channel
// that is closed when the last connection is closed. Requests in progress
// finish.
func (s *slot) drain() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	now := s.pool.clock.Now()
	s.failWaiters(Full, now, notOwnedError(s.key))
	s.failWaiters(ReadOnly, now, notOwnedError(s.key))
	s.closeIdle()
	done := make(chan struct{})
	if s.size() == 0 {
		close(done)
		return done
	}
	if s.drained == nil {
		s.drained = done
	}
	return s.drained
}

func (s *slot) closeIdle() {
	for account := range s.idle {
		for _, c := range slices.Clone(s.idle[account]) {
			s.removeLocked(c)
		}
	}
	if s.reservedConn != nil && s.reservedConn.state == connIdle {
		s.removeLocked(s.reservedConn)
	}
}
