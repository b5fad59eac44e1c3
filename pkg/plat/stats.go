package plat

import (
	"sync/atomic"
	"time"
)

// Stats holds the counters of one Client since its start.
type Stats struct {
	Calls            int64 // HTTP requests, polls of watches included
	Failures         int64 // requests without a response or with status 5xx
	OverBudget       int64 // responses with status 429
	Throttled        int64 // calls that waited for or exceeded the client's own budgets
	Rejected         int64 // calls rejected by the open circuit breaker
	Retries          int64 // retries of failed requests
	Resolved         int64 // updates confirmed as applied after a lost response
	Unknown          int64 // updates that ended with OutcomeUnknown
	ReadIdleTimeouts int64 // requests ended by ReadIdleTimeout
	// CircuitOpen reports whether the circuit breaker rejects calls now.
	CircuitOpen bool
	// LastResponse is the time of the last response below status 500; zero when
	// there was none.
	LastResponse time.Time
}

type counters struct {
	calls, failures, overBudget, throttled, rejected                  atomic.Int64
	retries, resolved, outcomeUnknown, readIdleTimeouts, lastResponse atomic.Int64
}

// Snapshot returns the current counters.
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
