package entry

import "time"

// A deployment with more than one priority gives each request one time budget:
// every step has at most the time that the earlier ones left. Others are served
// with a budget for each step.

// attemptTime returns the time that an attempt at the primary may take.
func (o *operation) attemptTime() time.Duration {
	if !o.timed {
		return o.route.Timeout
	}
	return max(o.route.Timeout-o.s.e.cfg.Clock.Since(o.start), minAttemptTime)
}

// queueTime returns the time that an attempt at the primary may wait. It is
// bounded by the time after which the answer is of no use to the caller.
func (o *operation) queueTime() time.Duration {
	if !o.timed {
		return o.budget() * 3 / 4
	}
	return o.remaining() * 3 / 4
}

// timeUp reports whether earlier steps have used the whole budget.
func (o *operation) timeUp() bool { return o.timed && o.attempts > 0 && o.remaining() <= 0 }

// changeCheckInterval is the time between two checks of a request that waits for
// a primary. The end of a change that keeps the primary is not signalled.
const changeCheckInterval = 50 * time.Millisecond

// nextCheck returns the time until the wait for a primary is reconsidered.
func (o *operation) nextCheck(left time.Duration) time.Duration {
	if !o.timed {
		return left
	}
	return min(left, changeCheckInterval)
}

// primaryPatience returns how much longer the operation waits for a primary to
// become known, after it has waited since the given time. waiting is set once it
// has begun to wait; it then goes on to do so.
func (o *operation) primaryPatience(since time.Time, waiting bool) time.Duration {
	e, name := o.s.e, o.route.Service
	short := o.route.LatencyObjective / waitDivisor
	if !o.timed {
		return short - e.cfg.Clock.Since(o.start)
	}
	now := e.cfg.Clock.Now()
	unknown := e.cfg.Views.LatestProof(name).Target == "" || len(e.cfg.Roster.Service(name)) == 0
	if unknown && !e.cfg.Views.ChangeInProgress(name, now) {
		// This VM has just started and learns targets and primaries from peers.
		return min(short-now.Sub(since), o.remaining())
	}
	if waiting {
		return primaryWait(o.remaining(), 0)
	}
	return primaryWait(o.remaining(), e.cfg.Views.ExpectedChange(name, now))
}
