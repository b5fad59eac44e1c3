package burn

import (
	"time"

	"siskintray.example/siskin"
)

// Result is the outcome of one transaction.
type Result struct {
	// Failed says that the transaction ended with an error of kind Kind.
	Failed bool
	Kind   siskin.ErrorKind
	// WithinRate says that a refusal of kind RateExceeded hit a customer that
	// was within its rate across the fleet, so that it counts as bad.
	WithinRate bool
	// Latency is the time from the first message to the end of the answer.
	Latency time.Duration
	// Read and ByReplica say that the transaction ran on a read route, and
	// that a replica served it.
	Read, ByReplica bool
}

// class says how a kind counts for availability.
type class int

const (
	good     class = iota // answered, even if with an error of the target
	bad                   // siskintray failed to serve the caller
	excluded              // the caller's own fault: not counted
)

// classOf returns the class of a kind. A new kind counts as bad until it is
// listed here.
func classOf(k siskin.ErrorKind) class {
	switch k {
	case siskin.TargetRefused:
		return good
	case siskin.RateExceeded, siskin.KeyRefused, siskin.KeyWithdrawn, siskin.UnknownRoute,
		siskin.BadToken, siskin.BadInput, siskin.TooLarge, siskin.Unsupported:
		return excluded
	default:
		return bad
	}
}
