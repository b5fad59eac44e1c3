package siskin

import "time"

// ControlStatus is the response of a target to control statements.
type ControlStatus struct {
	Primary bool
	// Term is the target's own term on a primary, and on a replica the term of
	// the primary that it follows.
	Term Term
	// Received is the end of the log that the target has received.
	Received Position
	// PauseTerm is the highest term of a Pause or StepDown that is in force.
	PauseTerm   Term `json:"HeldTerm"`
	Lag         time.Duration
	Running     int
	Connections int
}
