package home

import (
	"context"
	"slices"
	"time"

	"siskintray.example/siskin"
)

// conn returns a connection for the customer: an idle one, a new one, or a new
// one that replaces another customer's idle one. When all are in use, it waits
// for at most waitFor.
func (l *pool) conn(ctx context.Context, customer siskin.CustomerID, waitFor time.Duration) (*conn, error) {
	start := l.clock.Now()
	for {
		c, wait, err := l.reserve(customer)
		switch {
		case err != nil:
			return nil, err
		case c != nil:
			return c, nil
		case wait == nil:
			c, err = l.connect(ctx, customer)
			if siskin.KindOf(err) != siskin.Overloaded {
				return c, err
			}
			wait = l.freed()
		}
		select {
		case <-wait:
		case <-l.clock.After(connPollInterval):
		case <-ctx.Done():
		}
		if ctx.Err() != nil || l.clock.Since(start) > waitFor {
			return nil, siskin.NewError(siskin.Overloaded, "no connection to target %s is free", l.target()).WithRemedy("retry later")
		}
	}
}

// freed returns a channel that is closed when a connection becomes free.
func (l *pool) freed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wake
}

// reserve returns an idle connection, or a channel to wait on. When both are
// nil, the caller may open a connection, which is already counted in open.
func (l *pool) reserve(customer siskin.CustomerID) (*conn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return nil, nil, siskin.NewError(siskin.NotRun, "this VM no longer serves target %s", l.info.ID).WithRemedy("use another home")
	}
	// The most recently used connection is taken, so that surplus ones stay
	// idle.
	for i := len(l.idle) - 1; i >= 0; i-- {
		if l.idle[i].customer == customer {
			c := l.idle[i]
			l.idle = slices.Delete(l.idle, i, i+1)
			return c, nil, nil
		}
	}
	if l.clock.Now().Before(l.avoidUntil) {
		return nil, nil, siskin.NewError(siskin.Unavailable, "target %s is in backoff after a failed connection", l.info.ID).WithRemedy("use another target")
	}
	switch {
	case l.open < l.connLimiter.limit(l.clock.Now(), l.limit):
	case len(l.idle) > 0:
		l.idle[0].closeFor(replaced)
		l.idle = l.idle[1:]
		l.open--
	default:
		return nil, l.wake, nil
	}
	l.open++
	return nil, nil, nil
}

// connect opens a connection that reserve has counted.
func (l *pool) connect(ctx context.Context, customer siskin.CustomerID) (*conn, error) {
	l.mu.Lock()
	info := l.info
	l.opened++
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	tc, err := l.connector.Connect(ctx, info, customer)
	if err == nil {
		l.mu.Lock()
		l.connLimiter.accepted(l.open, l.limit)
		l.mu.Unlock()
		return l.newConn(tc, info, customer), nil
	}
	l.mu.Lock()
	if siskin.KindOf(err) != siskin.Overloaded {
		l.failedAt = l.clock.Now()
	}
	switch siskin.KindOf(err) {
	case siskin.Overloaded:
		l.connLimiter.refused(l.clock.Now(), l.open-1)
	case siskin.Conflict:
		l.avoidUntil = l.clock.Now().Add(conflictBackoff)
	default:
		l.avoidUntil = l.clock.Now().Add(unreachableBackoff)
	}
	l.mu.Unlock()
	l.connClosed()
	return nil, err
}

// newConn returns a connection whose events are reported.
func (l *pool) newConn(tc siskin.TargetConn, info siskin.TargetInfo, customer siskin.CustomerID) *conn {
	c := newConn(tc, customer, l.clock.Now())
	c.id, c.target, c.report = l.report.nextID(), info.ID, l.report
	return c
}
