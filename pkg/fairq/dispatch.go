package fairq

import "time"

// file puts a flow with waiting requests under the first round in which its
// deficit is positive, and credits it for the rounds until then.
func (s *sched) file(f *flow) {
	ahead := uint64(0)
	if f.deficit <= 0 && f.earned < s.wheel.round {
		f.deficit += f.earning()
		f.earned = s.wheel.round
	}
	if f.deficit <= 0 {
		ahead = min(uint64(-f.deficit/f.earning())+1, wheelSize-1)
		f.deficit += time.Duration(ahead) * f.earning()
		f.earned = s.wheel.round + ahead
	}
	s.wheel.file(f, ahead)
}

// dispatch starts requests while places are free.
func (s *sched) dispatch(now time.Duration) {
	if f := s.held; f != nil && !s.mustReserve(f, now) {
		s.held = nil
		s.file(f)
	}
	for s.running < s.places {
		f := s.wheel.next()
		if f == nil {
			return
		}
		s.serve(f, now)
	}
}

// serve visits the flow that is next in order: it files the flow again when it
// is in debt, holds it when the reserve applies, else starts its first request.
func (s *sched) serve(f *flow, now time.Duration) {
	s.wheel.remove(f)
	t := f.first
	switch {
	case f.deficit <= 0:
		s.file(f)
	case t.lastStart < now:
		s.expire(f, t)
	case s.mustReserve(f, now):
		s.held = f
	default:
		s.start(f, t, now)
	}
}

func (s *sched) start(f *flow, t *ticket, now time.Duration) {
	if f.lastStart > 0 {
		f.pace.add(now - f.lastStart)
	}
	f.lastStart = now
	t.charged = s.costOf(f)
	f.deficit -= t.charged
	s.unqueue(f, t)
	if f.waiting > 0 {
		s.file(f)
	}
	f.running++
	s.running++
	t.state, t.started = ticketRunning, now
	if t != s.fresh {
		t.ready <- struct{}{}
	}
	if s.running > s.places { // the call allocates, so it is made on a violation only
		invPlaces.Check(false, "%d running in %d places", s.running, s.places)
	}
}

// expire ends the waiting of a request that can no longer start in time. The
// waiter recycles the ticket.
func (s *sched) expire(f *flow, t *ticket) {
	s.unqueue(f, t)
	if f.waiting > 0 {
		s.file(f)
	}
	t.state = ticketExpired
	if t != s.fresh {
		t.ready <- struct{}{}
	}
}

// mustReserve reports whether f must leave the remaining places to others.
func (s *sched) mustReserve(f *flow, now time.Duration) bool {
	if s.places-s.running > s.reserve || 2*f.running <= s.places {
		return false
	}
	for _, o := range s.seen {
		if o.flow != nil && o.flow != f && now-o.at < reserveWindow {
			return true
		}
	}
	return false
}
