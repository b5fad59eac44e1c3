package home

import (
	"context"
	"slices"
	"time"

	"siskintray.example/siskin"
)

// conn returns a connection for a request of the customer: an idle one, a new
// one, or a new one that replaces another customer's idle one. When all are in
// use, it waits for at most waitFor.
func (l *pool) conn(ctx context.Context, customer siskin.CustomerID, class siskin.PriorityClass, waitFor time.Duration) (*conn, error) {
	if c, err := l.takeIdleOf(customer); c != nil || err != nil {
		return c, err
	}
	start := l.clock.Now()
	defer func() { l.report.metrics.connWaits[class].RecordDuration(l.clock.Since(start)) }()
	w := newConnWaiter(customer, class)
	l.mu.Lock()
	l.waiters.add(w)
	l.serveWaiters()
	l.mu.Unlock()
	for {
		if err := l.awaitTurn(ctx, w, start, waitFor); err != nil {
			return nil, err
		}
		if !w.open {
			return w.conn, w.err
		}
		c, err := l.connect(ctx, customer, class)
		if siskin.KindOf(err) != siskin.Overloaded {
			return c, err
		}
		// The next attempt follows a change of the pool or the poll interval.
		l.mu.Lock()
		l.waiters.readd(w)
		l.mu.Unlock()
	}
}

// takeIdleOf takes an idle connection of the customer, or returns nil. The most
// recently used one is taken, so that surplus ones stay idle.
func (l *pool) takeIdleOf(customer siskin.CustomerID) (*conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return nil, l.closingError()
	}
	i := l.idleOf(customer)
	if i < 0 {
		return nil, nil
	}
	l.waiters.hold(customer)
	return l.takeIdleAt(i), nil
}

// idleOf returns the index of the customer's most recently used idle connection,
// or -1. The caller holds mu.
func (l *pool) idleOf(customer siskin.CustomerID) int {
	for i := len(l.idle) - 1; i >= 0; i-- {
		if l.idle[i].customer == customer {
			return i
		}
	}
	return -1
}

func (l *pool) takeIdleAt(i int) *conn {
	c := l.idle[i]
	l.idle = slices.Delete(l.idle, i, i+1)
	return c
}

func (l *pool) closingError() error {
	return siskin.NewError(siskin.NotRun, "this VM no longer serves target %s", l.info.ID).WithRemedy("use another home")
}

// awaitTurn blocks until the request no longer waits. It returns an error when
// the context ends or waitFor passes since start, and the request then has no
// connection.
func (l *pool) awaitTurn(ctx context.Context, w *connWaiter, start time.Time, waitFor time.Duration) error {
	select {
	case <-w.ready:
		return nil
	default:
	}
	for {
		select {
		case <-w.ready:
			return nil
		case <-l.clock.After(connPollInterval):
		case <-ctx.Done():
		}
		if (ctx.Err() != nil || l.clock.Since(start) > waitFor) && l.withdraw(ctx, w) {
			return siskin.NewError(siskin.Overloaded, "no connection to target %s is free", l.target()).WithRemedy("retry later")
		}
		l.mu.Lock()
		l.serveWaiters()
		l.mu.Unlock()
	}
}

// withdraw takes a request whose time is over out of the queue. The result is
// false when it has got a connection, or a permission to open one, that it can
// still use.
func (l *pool) withdraw(ctx context.Context, w *connWaiter) bool {
	l.mu.Lock()
	removed := l.waiters.remove(w)
	l.mu.Unlock()
	if removed || ctx.Err() == nil {
		return removed
	}
	if w.conn != nil {
		l.putUnused(w.conn)
	}
	if w.open {
		l.openingEnded(w.class)
		l.connClosed(w.customer)
	}
	return true
}

// connect opens a connection that serveWaiters has counted.
func (l *pool) connect(ctx context.Context, customer siskin.CustomerID, class siskin.PriorityClass) (*conn, error) {
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
		l.openingEnded(class)
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
	l.openingEnded(class)
	l.connClosed(customer)
	return nil, err
}

// openingEnded records that a connection is no longer being opened, so that the
// next one may be.
func (l *pool) openingEnded(class siskin.PriorityClass) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters.opening[class]--
	l.serveWaiters()
}

// newConn returns a connection whose events are reported.
func (l *pool) newConn(tc siskin.TargetConn, info siskin.TargetInfo, customer siskin.CustomerID) *conn {
	c := newConn(tc, customer, l.clock.Now())
	c.id, c.target, c.report = l.report.nextID(), info.ID, l.report
	return c
}
