package plat

import (
	"sync/atomic"
	"time"
)

// Stats are the counts of one Client since its start.
type Stats struct {
	Calls       int64 // HTTP requests, polls of watches included
	Failures    int64 // requests without an answer or with status 5xx
	OverBudget  int64 // answers with status 429
	Throttled   int64 // calls that waited for the own budget
	HeldBack    int64 // calls refused at once during an outage
	Repetitions int64 // requests that repeat a failed one
	Resolved    int64 // updates found to have taken effect after a lost answer
	Unknown     int64 // updates that ended with OutcomeUnknown
	Silent      int64 // connections given up as silent
	// Down says that calls are held back now.
	Down bool
	// LastAnswer is the time of the last answer; zero when there was none.
	LastAnswer time.Time
}

type counters struct {
	calls, failures, overBudget, throttled, heldBack   atomic.Int64
	repetitions, resolved, unknown, silent, lastAnswer atomic.Int64
}

// Snapshot returns the present counts.
func (c *Client) Snapshot() Stats {
	n := &c.counters
	s := Stats{
		Calls: n.calls.Load(), Failures: n.failures.Load(), OverBudget: n.overBudget.Load(),
		Throttled: n.throttled.Load(), HeldBack: n.heldBack.Load(), Repetitions: n.repetitions.Load(),
		Resolved: n.resolved.Load(), Unknown: n.unknown.Load(), Silent: n.silent.Load(),
		Down: c.breaker.open(),
	}
	if at := n.lastAnswer.Load(); at != 0 {
		s.LastAnswer = time.Unix(0, at)
	}
	return s
}
