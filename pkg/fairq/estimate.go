package fairq

import "time"

// initialCost is the assumed service time before the first measurement.
const initialCost = time.Millisecond

// minPaceCount is the number of starts in one backlog after which the measured
// pace replaces the computed one.
const minPaceCount = 4

// refusal says why a request was refused and when to retry it. It is zero for
// a request that was not refused.
type refusal struct {
	reason     string
	retryAfter time.Duration
}

// refuse decides whether a request would have to wait too long.
func (s *sched) refuse(f *flow, now, deadline time.Duration) refusal {
	if deadline <= now {
		return refusal{"the deadline has passed", s.costOf(f)}
	}
	if f.waiting == 0 && s.running < s.places && !s.mustReserve(f, now) {
		return refusal{}
	}
	pace := s.paceOf(f)
	// A customer may fill at most as much of the queue as is still free, so
	// that a few customers cannot take all of it.
	if f.waiting >= min(s.maxPerCustomer, s.maxTotal-s.waiting) {
		return refusal{"the queue is full", max(pace, time.Millisecond)}
	}
	wait := time.Duration(f.waiting+1) * pace
	if wait > s.maxWait {
		return refusal{"the wait would exceed the bound", wait - s.maxWait}
	}
	if left := deadline - now; wait+s.costOf(f) > left {
		return refusal{"the request cannot end by its deadline", max(wait+s.costOf(f)-left, time.Millisecond)}
	}
	return refusal{}
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

// paceOf returns the expected time between two starts of f. The measured pace
// of the present backlog includes what customers without a backlog use. Before
// it is known, the pace follows from f's share of the places by weight.
func (s *sched) paceOf(f *flow) time.Duration {
	if f.pace.count >= minPaceCount {
		return f.pace.mean
	}
	weights := s.backlogWeight
	if f.waiting == 0 {
		weights += f.weight
	}
	return s.costOf(f) * time.Duration(weights) / time.Duration(f.weight*s.places)
}
