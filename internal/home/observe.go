package home

import (
	"context"
	"errors"
	"os"
	"time"

	"siskintray.example/siskin"
)

// Observation is the state of a target and what is known of its present run. A target
// that starts again forgets its log and its pauses.
type Observation struct {
	Status siskin.ControlStatus
	// ConnAge is the time for which the connection that answered has been open, which
	// shows that the target has not started again since.
	ConnAge time.Duration `json:"Running"`
}

// Observe asks a target for its state on the oldest connection that is free, and
// returns for how long that one has been open.
func (h *Homes) Observe(ctx context.Context, id siskin.TargetID) (a siskin.Answer, connAge time.Duration, err error) {
	l, ok := h.pool(id)
	if !ok {
		return a, 0, siskin.NewError(siskin.Unavailable, "target %s is not known", id).WithRemedy("wait for service discovery")
	}
	if ctx.Err() != nil {
		// An exchange would fail at once and close a healthy connection.
		return a, 0, siskin.NewError(siskin.Unavailable, "no time is left to ask target %s", id).WithCause(ctx.Err())
	}
	status := siskin.Statement{Kind: siskin.Status}
	if c := l.awaitOldest(ctx); c != nil {
		answers, err := c.Exchange(exchangeDeadline(ctx), []siskin.Statement{status})
		switch {
		case err != nil:
			l.handleBreak(err)
			l.drop(c)
		case answers[0].State != siskin.TxIdle:
			l.drop(c)
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
		return answers[0], 0, nil // it answered on another one
	}
	return answers[0], h.cfg.Clock.Since(l.control.connectedAt), nil
}

// idleConnWait is the time for which a question waits for a connection of callers, all of
// which are in use. One of its own would take the place of another of theirs.
const idleConnWait = 15 * time.Millisecond

// awaitOldest takes the idle connection that was opened first, and waits for one to
// become idle unless there is a control connection. It returns nil when there is none.
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

// takeOldest takes the idle connection that was opened first, nil when there is none
// or the control connection is older.
func (l *pool) takeOldest() *conn {
	var control time.Time
	if l.control.mu.TryLock() {
		if l.control.c != nil {
			control = l.control.connectedAt
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
	c := l.idle[oldest]
	l.idle = append(l.idle[:oldest], l.idle[oldest+1:]...)
	return c
}

// handleBreak notes that a connection which had answered before is broken, so that the
// target may have started again, cold. Silence alone does not say so.
func (l *pool) handleBreak(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	l.recordFailure()
	l.dropIdle()
}
