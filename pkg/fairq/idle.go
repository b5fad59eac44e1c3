package fairq

import (
	"time"

	"siskintray.example/siskin"
)

// idleTime is how long the flow of a customer without requests is kept. It
// bounds memory to the customers active within that time.
const idleTime = 10 * time.Second

// idleList orders flows without requests by the time they became idle.
type idleList struct{ head, tail *flow }

func (l *idleList) push(f *flow) {
	f.prev, f.next = l.tail, nil
	if l.tail == nil {
		l.head = f
	} else {
		l.tail.next = f
	}
	l.tail = f
	f.idle = true
}

func (l *idleList) remove(f *flow) {
	if f.prev == nil {
		l.head = f.next
	} else {
		f.prev.next = f.next
	}
	if f.next == nil {
		l.tail = f.prev
	} else {
		f.next.prev = f.prev
	}
	f.prev, f.next = nil, nil
	f.idle = false
}

// flow returns the flow of a customer and creates it when it is missing.
func (s *sched) flow(now time.Duration, id siskin.CustomerID, weight int) *flow {
	weight = max(weight, 1)
	f := s.flows.get(id)
	if f == nil {
		f = s.evictIdle(now)
		*f = flow{id: id, weight: weight, deficitRound: s.wheel.round}
		s.flows.put(f)
	} else if f.idle {
		s.idle.remove(f)
	}
	if f.weight != weight {
		if f.waiting > 0 {
			s.backlogWeight += weight - f.weight
		}
		f.weight = weight
	}
	return f
}

// evictIdle removes up to two flows that were idle for idleTime, so that the
// number of flows shrinks again, and returns one of them, or a new flow, to use.
func (s *sched) evictIdle(now time.Duration) *flow {
	var evicted *flow
	for range 2 {
		f := s.idle.head
		if f == nil || now-f.idleSince < idleTime {
			break
		}
		s.idle.remove(f)
		s.flows.remove(f)
		for i := range s.recent {
			if s.recent[i].flow == f {
				s.recent[i] = arrival{}
			}
		}
		evicted = f
	}
	if evicted == nil {
		return new(flow)
	}
	return evicted
}

// markIdle puts a flow without requests on the idle list.
func (s *sched) markIdle(f *flow, now time.Duration) {
	if f.running == 0 && f.waiting == 0 && f.open == 0 && !f.idle {
		f.idleSince = now
		s.idle.push(f)
	}
}
