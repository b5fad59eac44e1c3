package fairq

import (
	"time"

	"siskintray.example/siskin"
)

// initialCost is the assumed service time before the first measurement.
const initialCost = time.Millisecond

// minIntervalCount is the number of starts in one backlog after which the
// measured interval between starts replaces the computed one.
const minIntervalCount = 4

// refusal is why a request was refused and how long to wait before a retry. It
// is the zero value for a request that was admitted.
type refusal struct {
	reason     string
	retryAfter time.Duration
}

// checkAdmission refuses a request whose deadline has passed, that finds the
// queue full or that would have to wait too long. It returns the request that an
// admitted one displaces, or nil.
func (s *sched) checkAdmission(f *flow, now time.Duration, class siskin.PriorityClass, deadline time.Duration) (victim *ticket, r refusal) {
	if deadline <= now {
		return nil, refusal{"the deadline has passed", s.costOf(f)}
	}
	if f.waiting == 0 && s.running < s.places && !s.reserveApplies(f, now) {
		return nil, refusal{}
	}
	interval := s.startIntervalOf(f)
	// A customer may fill at most as much of the queue as is still free, so
	// that a few customers cannot take all of it.
	if f.waiting >= min(s.maxPerCustomer, s.maxTotal-s.waiting) {
		if victim = f.victim(class); victim == nil {
			f.classes[class].denied = true
			return nil, refusal{"the queue is full", max(interval, time.Millisecond)}
		}
	}
	wait := time.Duration(f.ahead(class)+1) * interval
	if wait > s.maxWait {
		return nil, refusal{"the wait would exceed the bound", wait - s.maxWait}
	}
	if left := deadline - now; wait+s.costOf(f) > left {
		return nil, refusal{"the request cannot end by its deadline", max(wait+s.costOf(f)-left, time.Millisecond)}
	}
	return victim, refusal{}
}

// refusalOf returns the refusal of a request that was admitted and did not
// start.
func (s *sched) refusalOf(t *ticket, now time.Duration) refusal {
	f := t.flow
	interval := max(s.startIntervalOf(f), time.Millisecond)
	r := refusal{"no place became free in time", s.maxWait / 8}
	switch {
	case t.state == ticketDisplaced:
		r = refusal{"a more urgent request took its place in the queue", interval}
	case t.open:
		return r
	case s.paces():
		r.retryAfter = time.Duration(f.ahead(t.class)+1) * interval
	}
	s.pace(f, now, t.class, &r)
	return r
}

// paces reports whether refused requests return at different times. A queue that
// has seen one class only states the earliest time to all.
func (s *sched) paces() bool { return s.prioritized && s.maxRetryAfter > 0 }

// pace spreads the times to retry of a customer's refused requests over its
// starts, urgent classes first. Beyond the limit, no time is stated.
func (s *sched) pace(f *flow, now time.Duration, class siskin.PriorityClass, r *refusal) {
	if s.paces() {
		r.retryAfter, _ = f.returns.Book(now, class, r.retryAfter, s.startIntervalOf(f), s.maxRetryAfter)
	}
}

// costOf returns the expected service time of a request of f.
func (s *sched) costOf(f *flow) time.Duration {
	switch {
	case f.cost.count > 0:
		return f.cost.mean
	case s.cost.count > 0:
		return s.cost.mean
	default:
		return initialCost
	}
}

// startIntervalOf returns the expected time between two starts of f. The
// interval measured in the current backlog accounts for the places used by
// customers without a backlog. Before it is known, the interval is computed
// from f's share of the places by weight.
func (s *sched) startIntervalOf(f *flow) time.Duration {
	if f.startInterval.count >= minIntervalCount {
		return f.startInterval.mean
	}
	weights := s.backlogWeight
	if f.waiting == 0 {
		weights += f.weight
	}
	return s.costOf(f) * time.Duration(weights) / time.Duration(f.weight*s.places)
}
