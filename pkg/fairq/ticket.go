package fairq

import (
	"time"

	"siskintray.example/siskin"
)

type ticketState uint8

const (
	ticketFree ticketState = iota
	ticketWaiting
	ticketRunning
	// ticketExpired is a request whose startDeadline passed while it waited.
	ticketExpired
	// ticketDisplaced is a request whose place in the queue went to a more
	// urgent one.
	ticketDisplaced
)

// ticket is one request in the scheduler. Tickets are reused; gen distinguishes
// a late release of an earlier use from a release of the current one.
type ticket struct {
	flow          *flow
	class         siskin.PriorityClass
	open          bool // a statement of an open transaction
	prev, next    *ticket
	state         ticketState
	gen           uint64
	startDeadline time.Duration // latest time to start; times count from the queue's origin
	started       time.Duration
	charged       time.Duration // estimated cost, deducted from the flow at the start
	ready         chan struct{} // capacity 1; signaled when the ticket stops waiting
}
