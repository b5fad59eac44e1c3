package burn

import (
	"time"

	"siskintray.example/siskin"
)

// Result is the outcome of one transaction.
type Result struct {
	// Failed reports whether the transaction ended with an error of kind Kind.
	Failed bool
	Kind   siskin.ErrorKind
	// WithinRate reports whether an error of kind RateExceeded was returned to a
	// customer within its rate across the fleet. Such an error counts as bad.
	WithinRate bool
	// Latency is the time from the first message to the end of the response.
	Latency time.Duration
	// Read reports whether the transaction ran on a read route, and ByReplica
	// whether a replica served it.
	Read, ByReplica bool
}

// class is how an error kind counts for availability.
type class int

const (
	good     class = iota // the target responded, possibly with an error
	bad                   // siskintray failed to serve the caller
	excluded              // caused by the caller: not counted
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
