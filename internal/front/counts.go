package front

import (
	"sync/atomic"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

type counts struct {
	transactions, retries, freeRetries, replicaReads, primaryReads, panics atomic.Int64

	refused [siskin.TargetRefused + 1]atomic.Int64
}

// countServed counts a transaction on a read route by the role of the target
// that answered its first batch.
func (c *counts) countServed(t *transaction) {
	switch {
	case t.route.Mode != config.ReadRoute:
	case t.atPrimary:
		c.primaryReads.Add(1)
	default:
		c.replicaReads.Add(1)
	}
}

// Stats holds the counts of a Server.
type Stats struct {
	Sessions int
	// Transactions counts the transactions that began, and Retries the repeated
	// attempts that used the retry budget.
	Transactions, Retries int64
	// FreeRetries counts the repeated attempts that used no retry budget,
	// because nothing had been sent or the target had refused the work.
	FreeRetries int64 `json:"Waits"`
	// ReplicaReads and PrimaryReads count the transactions on read routes by
	// the role of the target that served them.
	ReplicaReads, PrimaryReads int64
	// Panics counts the sessions that ended by a panic.
	Panics int64 `json:"Faults"`
	// Refused counts failed transactions and refused connections by error kind.
	Refused map[siskin.ErrorKind]int64
}

// Stats returns the current counts.
func (s *Server) Stats() Stats {
	c := &s.counts
	st := Stats{
		Sessions: s.sessions.Len(), Transactions: c.transactions.Load(), Retries: c.retries.Load(), FreeRetries: c.freeRetries.Load(),
		ReplicaReads: c.replicaReads.Load(), PrimaryReads: c.primaryReads.Load(),
		Panics: c.panics.Load(), Refused: make(map[siskin.ErrorKind]int64),
	}
	for kind := range c.refused {
		if n := c.refused[kind].Load(); n > 0 {
			st.Refused[siskin.ErrorKind(kind)] = n
		}
	}
	return st
}
