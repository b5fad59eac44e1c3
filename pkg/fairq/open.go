package fairq

import (
	"time"

	"siskintray.example/siskin"
)

// enterOpen adds the next statement of an open transaction, as enter does for a
// new request. Such statements start before all new requests, in order of
// arrival, since they hold a connection and locks. After maxPasses of them a new
// request starts, so that a customer with many transactions does not keep a
// target from the others.
func (s *sched) enterOpen(now time.Duration, id siskin.CustomerID, weight int, deadline time.Duration) (*ticket, refusal) {
	f := s.flow(now, id, weight)
	s.noteArrival(f, now)
	if r := s.checkOpen(f, now, deadline); r.reason != "" {
		s.markIdle(f, now)
		return nil, r
	}
	t := s.newTicket()
	t.flow, t.state, t.open = f, ticketWaiting, true
	t.startDeadline = deadline
	s.open.push(t)
	f.open++
	s.entering = t
	s.dispatch(now)
	s.entering = nil
	return t, refusal{}
}

// checkOpen refuses a statement that cannot end by its deadline behind the
// statements of open transactions that wait already.
func (s *sched) checkOpen(f *flow, now, deadline time.Duration) refusal {
	cost := s.openCostOf(f)
	if deadline <= now {
		return refusal{"the deadline has passed", cost}
	}
	if s.running < s.places {
		return refusal{}
	}
	interval := s.costOf(f)
	if s.cost.count > 0 {
		interval = s.cost.mean
	}
	wait := time.Duration(s.open.n+1) * interval / time.Duration(s.places)
	if left := deadline - now; wait+cost > left {
		return refusal{"the request cannot end by its deadline", max(wait+cost-left, time.Millisecond)}
	}
	return refusal{}
}

// openCostOf returns the expected service time of a statement of an open
// transaction of f. Commits take another time than reads, so it is measured
// apart.
func (s *sched) openCostOf(f *flow) time.Duration {
	if s.openCost.count > 0 {
		return s.openCost.mean
	}
	return s.costOf(f)
}

// serveOpen starts or expires the statement of an open transaction that has
// waited longest.
func (s *sched) serveOpen(t *ticket, now time.Duration) {
	s.unqueueOpen(t)
	if t.startDeadline < now {
		s.finish(t, ticketExpired)
		return
	}
	if t.flow.waiting == 0 {
		t.flow.settle(s.wheel.round)
	}
	t.charged = s.openCostOf(t.flow)
	t.flow.deficit -= t.charged
	s.openStarts++
	s.run(t, now)
}

func (s *sched) unqueueOpen(t *ticket) {
	s.open.remove(t)
	t.flow.open--
}
