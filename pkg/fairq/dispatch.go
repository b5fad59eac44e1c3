package fairq

import "time"

// schedule puts a flow with waiting requests on the wheel, in the first round in
// which its deficit is positive, and credits it for the rounds until then.
func (s *sched) schedule(f *flow) {
	ahead := uint64(0)
	if f.deficit <= 0 && f.creditedRound < s.wheel.round {
		f.deficit += f.roundQuantum()
		f.creditedRound = s.wheel.round
	}
	if f.deficit <= 0 {
		ahead = min(uint64(-f.deficit/f.roundQuantum())+1, wheelSize-1)
		f.deficit += time.Duration(ahead) * f.roundQuantum()
		f.creditedRound = s.wheel.round + ahead
	}
	s.wheel.schedule(f, ahead)
}

// dispatch starts requests while places are free.
func (s *sched) dispatch(now time.Duration) {
	if f := s.deferred; f != nil && !s.reserveApplies(f, now) {
		s.deferred = nil
		s.schedule(f)
	}
	for s.running < s.places {
		f := s.wheel.next()
		switch {
		case s.open.head != nil && (f == nil || s.openStarts < maxPasses):
			s.serveOpen(s.open.head, now)
		case f != nil:
			s.serve(f, now)
		default:
			return
		}
	}
}

// serve handles the next flow on the wheel: it reschedules a flow in debt,
// expires a request that is too late to start, defers a flow that the reserve
// applies to, and otherwise starts the flow's first request.
func (s *sched) serve(f *flow, now time.Duration) {
	s.wheel.remove(f)
	t := f.nextTicket()
	switch {
	case f.deficit <= 0:
		s.schedule(f)
	case t.startDeadline < now:
		s.expire(f, t)
	case s.reserveApplies(f, now):
		s.deferred = f
	default:
		s.start(f, t, now)
	}
}

func (s *sched) start(f *flow, t *ticket, now time.Duration) {
	if f.lastStarted > 0 {
		f.startInterval.add(now - f.lastStarted)
	}
	f.lastStarted = now
	t.charged = s.costOf(f)
	f.deficit -= t.charged
	f.countPasses(t.class)
	s.openStarts = 0
	s.unqueue(f, t)
	if f.waiting > 0 {
		s.schedule(f)
	}
	s.run(t, now)
}

// run gives a place to a request that no longer waits.
func (s *sched) run(t *ticket, now time.Duration) {
	t.flow.running++
	s.running++
	t.started = now
	s.finish(t, ticketRunning)
	if s.running > s.places { // the call allocates, so it is made on a violation only
		invPlaces.Check(false, "%d running in %d places", s.running, s.places)
	}
}

// expire removes a waiting request that can no longer start in time. The
// waiter recycles the ticket.
func (s *sched) expire(f *flow, t *ticket) {
	s.unqueue(f, t)
	if f.waiting > 0 {
		s.schedule(f)
	}
	s.finish(t, ticketExpired)
}

// displace removes a waiting request in favour of a more urgent one of its flow.
// The waiter recycles the ticket.
func (s *sched) displace(t *ticket) {
	s.unqueue(t.flow, t)
	t.flow.classes[t.class].denied = true
	s.finish(t, ticketDisplaced)
}

// finish sets the state of a ticket that no longer waits.
func (s *sched) finish(t *ticket, state ticketState) {
	t.state = state
	if t != s.entering {
		t.ready <- struct{}{}
	}
}

// reserveApplies reports whether f must leave the remaining places to others.
func (s *sched) reserveApplies(f *flow, now time.Duration) bool {
	if s.places-s.running > s.reserve || 2*f.running <= s.places {
		return false
	}
	for _, o := range s.recent {
		if o.flow != nil && o.flow != f && now-o.at < reserveWindow {
			return true
		}
	}
	return false
}
