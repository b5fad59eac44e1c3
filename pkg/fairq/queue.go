package fairq

import (
	"context"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// Queue admits requests to a bounded number of places. It is safe for
// concurrent use and starts no goroutine.
type Queue struct {
	clock  siskin.Clock
	origin time.Time

	mu sync.Mutex
	s  *sched
}

// New returns a queue in front of the given number of places.
func New(clock siskin.Clock, places int, options ...Option) *Queue {
	s := defaultSettings(places)
	for _, o := range options {
		o(&s)
	}
	// The origin is before the first request, so that no time is zero.
	return &Queue{clock: clock, origin: clock.Now().Add(-time.Second), s: newSched(places, s)}
}

// Acquire waits for a place. A request that cannot end by its deadline is
// refused at once with an error of kind siskin.Overloaded; if the context ends
// during the wait, the error is of kind siskin.NotRun. In both cases the request
// did not run. The caller must release the grant.
func (q *Queue) Acquire(ctx context.Context, customer siskin.CustomerID, weight int, deadline time.Time) (Grant, error) {
	now := q.clock.Now()
	q.mu.Lock()
	t, r := q.s.enter(now.Sub(q.origin), customer, weight, deadline.Sub(q.origin))
	if t == nil {
		q.mu.Unlock()
		return Grant{}, overloaded(customer, r)
	}
	state, gen, wait := t.state, t.gen, t.startDeadline-now.Sub(q.origin)
	q.mu.Unlock()
	if state != ticketRunning {
		if err := q.wait(ctx, t, wait, customer); err != nil {
			return Grant{}, err
		}
	}
	return Grant{q: q, t: t, gen: gen}, nil
}

// wait blocks until the ticket runs or expires, the timeout passes or the
// context ends.
func (q *Queue) wait(ctx context.Context, t *ticket, timeout time.Duration, customer siskin.CustomerID) error {
	var cause error
	select {
	case <-t.ready:
	case <-ctx.Done():
		cause = ctx.Err()
	case <-q.clock.After(timeout):
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now().Sub(q.origin)
	select {
	case <-t.ready: // it started or expired before the lock was taken
	default:
	}
	switch {
	case t.state == ticketRunning && cause == nil:
		return nil
	case t.state == ticketRunning:
		q.s.leave(now, t)
	case t.state == ticketWaiting:
		q.s.cancel(now, t)
	default:
		f := t.flow
		q.s.recycle(t)
		q.s.markIdle(f, now)
	}
	if cause != nil {
		return siskin.NewError(siskin.NotRun, "customer %s gave up in the queue", customer).
			WithRemedy("repeat the request; it did not run").WithCause(cause)
	}
	return overloaded(customer, refusal{"no place became free in time", q.s.maxWait / 8})
}

func overloaded(customer siskin.CustomerID, r refusal) error {
	return siskin.NewError(siskin.Overloaded, "request of customer %s refused: %s", customer, r.reason).
		WithRetryAfter(r.retryAfter).
		WithRemedy("retry after " + r.retryAfter.Round(time.Millisecond).String() + "; it did not run")
}

// Stats is the current load of a Queue.
type Stats struct {
	Running   int
	Waiting   int
	Customers int // customers with running, waiting or recent requests
}

// Stats returns the current load.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{Running: q.s.running, Waiting: q.s.waiting, Customers: q.s.flows.n}
}
