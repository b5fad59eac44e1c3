package home

import (
	"context"
	"errors"
	"os"
	"time"

	"siskintray.example/siskin"
)

// Observation is the state of a target and the age of the connection that
// reported it. A target that restarts loses its log and its pauses.
type Observation struct {
	Status siskin.ControlStatus
	// ConnAge is the time for which the connection that answered has been open.
	// The target has not restarted in that time.
	ConnAge time.Duration `json:"Running"`
}

// Observe queries the state of a target on the oldest idle connection, and
// returns for how long that connection has been open.
func (h *Homes) Observe(ctx context.Context, id siskin.TargetID) (a siskin.Answer, connAge time.Duration, err error) {
	l, ok := h.pool(id)
	if !ok {
		return a, 0, siskin.NewError(siskin.Unavailable, "target %s is not known", id).WithRemedy("wait for service discovery")
	}
	if ctx.Err() != nil {
		// An exchange would fail at once and close a healthy connection.
		return a, 0, siskin.NewError(siskin.Unavailable, "deadline passed before target %s was queried", id).WithCause(ctx.Err())
	}
	status := siskin.Statement{Kind: siskin.Status}
	if c := l.awaitOldest(ctx); c != nil {
		answers, err := c.control(exchangeDeadline(ctx), []siskin.Statement{status})
		switch {
		case err != nil:
			l.handleBreak(err)
			l.drop(c, broken)
		default:
			openedAt := c.openedAt
			l.put(c)
			return answers[0], h.cfg.Clock.Since(openedAt), nil
		}
		if ctx.Err() != nil {
			return a, 0, siskin.NewError(siskin.Unavailable, "target %s gave no answer", id).WithCause(err)
		}
	}
	answers, err := h.Control(ctx, id, status)
	if err != nil {
		return a, 0, err
	}
	l.control.mu.Lock()
	defer l.control.mu.Unlock()
	if l.control.c == nil {
		return answers[0], 0, nil // it answered on a connection of the pool
	}
	return answers[0], h.cfg.Clock.Since(l.control.c.openedAt), nil
}

// idleConnWait is the time for which a status request waits while all
// connections of callers are in use. A connection of its own would count
// against the limit and displace one of theirs.
const idleConnWait = 15 * time.Millisecond

// freed returns a channel that is closed when a connection becomes idle or is
// closed.
func (l *pool) freed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wake
}

// awaitOldest takes the idle connection that was opened first, and waits for
// one to become idle unless there is a control connection. It returns nil when
// it gets none.
func (l *pool) awaitOldest(ctx context.Context) *conn {
	limit := l.clock.After(idleConnWait)
	for {
		freed := l.freed()
		if c := l.takeOldest(); c != nil {
			return c
		}
		if !l.inUse() || l.hasControl() {
			return nil
		}
		select {
		case <-freed:
		case <-limit:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// hasControl reports whether the control connection is open or in use.
func (l *pool) hasControl() bool {
	if !l.control.mu.TryLock() {
		return true
	}
	defer l.control.mu.Unlock()
	return l.control.c != nil
}

// takeOldest takes the idle connection that was opened first. It returns nil
// when none is idle or the control connection is older.
func (l *pool) takeOldest() *conn {
	var control time.Time
	if l.control.mu.TryLock() {
		if l.control.c != nil {
			control = l.control.c.openedAt
		}
		l.control.mu.Unlock()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := -1
	for i, c := range l.idle {
		if oldest < 0 || c.openedAt.Before(l.idle[oldest].openedAt) {
			oldest = i
		}
	}
	if oldest < 0 || !control.IsZero() && control.Before(l.idle[oldest].openedAt) {
		return nil
	}
	l.waiters.hold(l.idle[oldest].customer)
	return l.takeIdleAt(oldest)
}

// handleBreak records that an established connection broke, so that the target
// may have restarted and be cold, and closes the idle connections. A timeout or
// a repeated answer is no evidence of a restart.
func (l *pool) handleBreak(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errOutOfStep) {
		return
	}
	l.recordFailure()
	l.dropIdle(suspect)
}
