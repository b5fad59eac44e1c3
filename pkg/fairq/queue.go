package fairq

import (
	"context"
	"errors"
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

// ErrDisplaced is the cause of the error of a request that lost its place in the
// queue to a more urgent one of the same customer.
var ErrDisplaced = errors.New("displaced by a more urgent request")

// Acquire waits for a place for a request of class 0, as AcquireClass does.
func (q *Queue) Acquire(ctx context.Context, customer siskin.CustomerID, weight int, deadline time.Time) (Grant, error) {
	return q.AcquireClass(ctx, customer, weight, 0, deadline)
}

// AcquireClass waits for a place. The requests of a customer start by class. A
// request that cannot end by its deadline is refused at once with an error of
// kind siskin.Overloaded, and so is one that finds the queue full, unless it
// displaces a less urgent one. If the context ends during the wait, the error is
// of kind siskin.NotRun. In all cases the request did not run. The caller must
// release the grant.
func (q *Queue) AcquireClass(ctx context.Context, customer siskin.CustomerID, weight int, class siskin.PriorityClass, deadline time.Time) (Grant, error) {
	now := q.clock.Now()
	q.mu.Lock()
	t, r := q.s.enter(now.Sub(q.origin), customer, weight, class.Valid(), deadline.Sub(q.origin))
	return q.await(ctx, now, t, r, customer)
}

// AcquireOpen waits for a place for the next statement of an open transaction.
// It starts before the requests of AcquireClass, but for one of them after eight
// open statements, and is refused only when its deadline cannot be met.
func (q *Queue) AcquireOpen(ctx context.Context, customer siskin.CustomerID, weight int, deadline time.Time) (Grant, error) {
	now := q.clock.Now()
	q.mu.Lock()
	t, r := q.s.enterOpen(now.Sub(q.origin), customer, weight, deadline.Sub(q.origin))
	return q.await(ctx, now, t, r, customer)
}

// SetPlaces changes the number of requests that run at once, at least 1. The
// bounds of the queue and its reserve stay.
func (q *Queue) SetPlaces(n int) {
	now := q.clock.Now().Sub(q.origin)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.s.setPlaces(now, n)
}

// await returns the grant of a request that entered the scheduler at now, or its
// refusal when there is no ticket. The caller holds mu, which await releases.
func (q *Queue) await(ctx context.Context, now time.Time, t *ticket, r refusal, customer siskin.CustomerID) (Grant, error) {
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

// wait blocks until the ticket no longer waits, the timeout passes or the context
// ends.
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
	if t.state == ticketRunning && cause == nil {
		return nil
	}
	displaced := t.state == ticketDisplaced
	var r refusal
	if cause == nil {
		r = q.s.refusalOf(t, now)
	}
	q.end(now, t)
	switch {
	case cause != nil:
		return siskin.NewError(siskin.NotRun, "customer %s gave up in the queue", customer).
			WithRemedy("repeat the request; it did not run").WithCause(cause)
	case displaced:
		return overloaded(customer, r).WithCause(ErrDisplaced)
	default:
		return overloaded(customer, r)
	}
}

// end takes a ticket whose request will not run out of the scheduler.
func (q *Queue) end(now time.Duration, t *ticket) {
	switch {
	case t.state == ticketRunning:
		q.s.leave(now, t)
	case t.state == ticketWaiting:
		q.s.cancel(now, t)
	default:
		f := t.flow
		q.s.recycle(t)
		q.s.markIdle(f, now)
	}
}

func overloaded(customer siskin.CustomerID, r refusal) *siskin.Error {
	e := siskin.NewError(siskin.Overloaded, "request of customer %s refused: %s", customer, r.reason)
	if r.retryAfter <= 0 {
		return e.WithRemedy("do not retry now; it did not run")
	}
	return e.WithRetryAfter(r.retryAfter).
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
	return Stats{Running: q.s.running, Waiting: q.s.waiting + q.s.open.n, Customers: q.s.flows.n}
}
