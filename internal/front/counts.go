package front

import (
	"sync/atomic"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

type counts struct {
	transactions, retries, waits, replicaReads, primaryReads, faults atomic.Int64

	refused [siskin.TargetRefused + 1]atomic.Int64
}

// served counts a transaction whose first batch was answered.
func (c *counts) served(t *transaction) {
	switch {
	case t.route.Mode != config.ReadRoute:
	case t.atPrimary:
		c.primaryReads.Add(1)
	default:
		c.replicaReads.Add(1)
	}
}

// Stats counts the work of a Server.
type Stats struct {
	Sessions int
	// Transactions counts the ones that were begun, and Retries the attempts
	// that were sent again.
	Transactions, Retries int64
	// FreeRetries counts the attempts that were put off before anything was sent.
	FreeRetries int64
	// ReplicaReads and PrimaryReads count the transactions on read routes by
	// the role of the target that served them.
	ReplicaReads, PrimaryReads int64
	// Panics counts the sessions that ended by a fault of the program.
	Panics int64
	// Refused counts failed transactions by error kind.
	Refused map[siskin.ErrorKind]int64
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	c := &s.counts
	st := Stats{
		Sessions: s.sessions.Len(), Transactions: c.transactions.Load(), Retries: c.retries.Load(), FreeRetries: c.waits.Load(),
		ReplicaReads: c.replicaReads.Load(), PrimaryReads: c.primaryReads.Load(),
		Panics: c.faults.Load(), Refused: make(map[siskin.ErrorKind]int64),
	}
	for kind := range c.refused {
		if n := c.refused[kind].Load(); n > 0 {
			st.Refused[siskin.ErrorKind(kind)] = n
		}
	}
	return st
}
