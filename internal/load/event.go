package load

import (
	"time"

	"siskintray.example/siskin"
)

// Operation is the kind of one request.
type Operation int

// Kinds of requests.
const (
	Read Operation = iota
	Write
)

// Event is one finished request as its caller saw it. Times count from the
// start of the run.
type Event struct {
	Customer  siskin.CustomerID
	Operation Operation
	Outcome   Outcome
	Intended  time.Duration // when the request was due
	Sent      time.Duration
	Ended     time.Duration
	Key       string // key that a write inserted
	FromVM    int    // index of the VM that served the caller
}

// Latency returns the time from the intended start to the end.
func (e *Event) Latency() time.Duration { return e.Ended - e.Intended }
