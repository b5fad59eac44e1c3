package plat

import (
	"sync/atomic"
	"time"
)

// Stats are the counts of one Client since its start.
type Stats struct {
	Calls            int64 // HTTP requests, polls of watches included
	Failures         int64 // requests without an answer or with status 5xx
	OverBudget       int64 // answers with status 429
	Throttled        int64 // calls that waited for the own budget
	Rejected         int64 // calls refused at once during an outage
	Retries          int64 // requests that repeat a failed one
	Resolved         int64 // updates found to have taken effect after a lost answer
	Unknown          int64 // updates that ended with OutcomeUnknown
	ReadIdleTimeouts int64 // connections given up as silent
	// CircuitOpen says that calls are held back now.
	CircuitOpen bool
	// LastResponse is the time of the last answer; zero when there was none.
	LastResponse time.Time
}

type counters struct {
	calls, failures, overBudget, throttled, rejected                  atomic.Int64
	retries, resolved, outcomeUnknown, readIdleTimeouts, lastResponse atomic.Int64
}

// Snapshot returns the present counts.
func (c *Client) Snapshot() Stats {
	n := &c.counters
	s := Stats{
		Calls: n.calls.Load(), Failures: n.failures.Load(), OverBudget: n.overBudget.Load(),
		Throttled: n.throttled.Load(), Rejected: n.rejected.Load(), Retries: n.retries.Load(),
		Resolved: n.resolved.Load(), Unknown: n.outcomeUnknown.Load(), ReadIdleTimeouts: n.readIdleTimeouts.Load(),
		CircuitOpen: c.breaker.open(),
	}
	if at := n.lastResponse.Load(); at != 0 {
		s.LastResponse = time.Unix(0, at)
	}
	return s
}
