package siskin

import "time"

// ControlStatus is what a target answers to control statements.
type ControlStatus struct {
	Primary bool
	// Term is the term of the primary that the target follows or is.
	Term Term
	// Received is the end of the log received.
	Received Position
	// PauseTerm is the highest term of a Pause or StepDown that is in force.
	PauseTerm   Term `json:"HeldTerm"`
	Lag         time.Duration
	Running     int
	Connections int
}
