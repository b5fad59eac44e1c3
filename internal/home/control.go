package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
)

// pingTimeout limits a request for a proof that a target is the primary. It
// needs no statement slot, so it takes one round trip.
const pingTimeout = 300 * time.Millisecond

// control is the connection of a pool for the proxy's own statements. It is
// separate from those of callers, so that control statements never wait for
// callers' statements.
type control struct {
	mu sync.Mutex // held during an exchange
	c  *conn
	// openedTo is the target as listed when the connection was opened.
	openedTo siskin.TargetInfo
	usedAt   time.Time

	lastEnsure atomic.Int64 // last attempt of EnsureControlConn, in Unix nanoseconds
}

// controlIdleTimeout is the time after which an unused control connection is
// closed. Every VM may open one, and they count against the limit of the
// target.
const controlIdleTimeout = time.Second

// startIdleTimeout is the same for the connections of a VM that is not the home
// of a target it has just begun to use. While the VMs of a fleet start, several
// of them take themselves for the home, and the target accepts few connections
// until those of the earlier runs end.
const startIdleTimeout = 100 * time.Millisecond

const (
	// ensureInterval is the minimum time between two attempts of
	// EnsureControlConn for one target.
	ensureInterval = time.Second
	// ensureDelay is the time from the first use of a target to the first
	// attempt. The connections of an earlier home that crashed count against
	// the target's limit for 3 s, and the few that it still accepts in that
	// time are reserved for callers.
	ensureDelay = 4 * time.Second
)

// EnsureControlConn opens the control connection of a target that this VM is
// the home of, unless a connection is already open. A replica can confirm a
// primary only when its home has had a connection to it for long enough, so it
// must be open before the first status request.
func (h *Homes) EnsureControlConn(id siskin.TargetID) {
	l, ok := h.pool(id)
	now := h.cfg.Clock.Now()
	if !ok || now.Sub(l.created) < ensureDelay || now.UnixNano()-l.control.lastEnsure.Load() < int64(ensureInterval) || !l.control.mu.TryLock() {
		return
	}
	open := l.control.c != nil
	l.control.mu.Unlock()
	if open || l.inUse() {
		return
	}
	l.control.lastEnsure.Store(now.UnixNano())
	h.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		defer cancel()
		// After a failure the next call tries again.
		_, _ = h.Control(ctx, id, siskin.Statement{Kind: siskin.Status})
	})
}

// Control sends statements to a target on the control connection. A broken
// connection is replaced once before an error is returned, so the statements
// must be idempotent.
func (h *Homes) Control(ctx context.Context, id siskin.TargetID, list ...siskin.Statement) ([]siskin.Answer, error) {
	l, ok := h.pool(id)
	if !ok {
		return nil, siskin.NewError(siskin.Unavailable, "target %s is not known", id).WithRemedy("wait for service discovery")
	}
	l.control.mu.Lock()
	defer l.control.mu.Unlock()
	if ctx.Err() != nil {
		return nil, siskin.NewError(siskin.Unavailable, "deadline passed before target %s was queried", id).WithCause(ctx.Err())
	}
	reused := l.control.c != nil
	answers, err := l.controlOnce(ctx, list)
	if err != nil && reused {
		l.handleBreak(err)
		if ctx.Err() == nil {
			answers, err = l.controlOnce(ctx, list)
		}
	}
	if err != nil {
		kind := siskin.Unavailable
		if siskin.KindOf(err) == siskin.Overloaded {
			kind = siskin.Overloaded // the target answers, but accepts no more connections
		}
		return nil, siskin.NewError(kind, "target %s gave no answer", id).WithCause(err)
	}
	l.control.usedAt = h.cfg.Clock.Now()
	return answers, nil
}

func (l *pool) controlOnce(ctx context.Context, list []siskin.Statement) ([]siskin.Answer, error) {
	l.mu.Lock()
	info, closing := l.info, l.closing
	l.mu.Unlock()
	if closing {
		return nil, siskin.NewError(siskin.Unavailable, "this VM no longer serves target %s", info.ID)
	}
	ctl := &l.control
	if ctl.c != nil && (ctl.openedTo.Address != info.Address || !ctl.openedTo.StartedAt.Equal(info.StartedAt)) {
		l.dropControl(suspect)
	}
	if ctl.c == nil {
		c, err := l.connector.Connect(ctx, info, "")
		if siskin.KindOf(err) == siskin.Overloaded {
			return l.controlOnIdle(ctx, list, err)
		}
		if err != nil {
			return nil, err
		}
		ctl.c, ctl.openedTo = l.newConn(c, info, ""), info
	}
	answers, err := ctl.c.control(exchangeDeadline(ctx), list)
	if err != nil {
		l.dropControl(broken)
	}
	return answers, err
}

// controlOnIdle runs control statements on an idle connection of a customer,
// since the target accepts no more connections. It returns refusal when none is
// idle.
func (l *pool) controlOnIdle(ctx context.Context, list []siskin.Statement, refusal error) ([]siskin.Answer, error) {
	l.mu.Lock()
	n := len(l.idle)
	if n == 0 {
		l.mu.Unlock()
		return nil, refusal
	}
	c := l.takeIdleAt(n - 1)
	l.waiters.hold(c.customer)
	l.mu.Unlock()
	answers, err := c.control(exchangeDeadline(ctx), list)
	if err != nil {
		l.drop(c, broken)
		return answers, err
	}
	l.put(c)
	return answers, nil
}

// exchangeDeadline returns the deadline of ctx, or pingTimeout from now when it
// has none.
func exchangeDeadline(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(pingTimeout)
}

func (l *pool) dropControl(reason closeReason) {
	l.control.c.closeFor(reason)
	l.control.c = nil
}

// trim closes connections that have been idle for controlIdleTimeout: the
// control connection when others are open, and all of them when this VM is not
// the home of the target. A home keeps one, since an unbroken connection shows
// that the target has not restarted.
func (l *pool) trim(now time.Time, notHome bool) {
	if (notHome || l.inUse()) && l.control.mu.TryLock() {
		if l.control.c != nil && now.Sub(l.control.usedAt) > controlIdleTimeout {
			l.dropControl(surplus)
		}
		l.control.mu.Unlock()
	}
	if !notHome {
		return
	}
	idleTimeout := controlIdleTimeout
	if now.Sub(l.created) < ensureDelay {
		idleTimeout = startIdleTimeout
	}
	l.mu.Lock()
	var stale []*conn
	for len(l.idle) > 0 && now.Sub(l.idle[0].usedAt) > idleTimeout {
		stale = append(stale, l.idle[0])
		l.idle = l.idle[1:]
		l.open--
	}
	l.mu.Unlock()
	closeAll(stale, surplus)
}

// WriteStall returns the time for which all writes at a target have failed, or
// have been refused because its replicas are claimed. It is zero when the last
// write succeeded.
func (h *Homes) WriteStall(id siskin.TargetID) time.Duration {
	l, ok := h.pools.Get(id)
	if !ok {
		return 0
	}
	now := h.cfg.Clock.Now()
	return max(l.writes.stallTime(now), l.refusals.since(now))
}
