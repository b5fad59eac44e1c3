package entry

import "time"

// outlook holds what a VM knows about a target when a request is about to be
// sent there.
type outlook struct {
	Now time.Time
	// Left is the time that the request has at the target. An answer after the
	// budget but within the timeout is late, but it is delivered.
	Left time.Duration
	// Silent is set if no VM of the target's data centre answers. Contact has
	// the attempts at the targets there.
	Silent  bool
	Contact contact
	// Failures is the number of attempts at the target that have failed since
	// the last answer. FailedAt is the time of the latest.
	Failures int
	FailedAt time.Time
	// FirstAttempt is set for the first attempt of a request. A request that
	// failed itself may be tried again.
	FirstAttempt bool
	// Fastest is the least of the recent times at the target, or zero when there
	// are too few.
	Fastest time.Duration
}

// assess decides whether the request can succeed at the target.
//
// It responds to the load of a partitioned data centre, whose VMs otherwise hold
// each request for a target elsewhere until its connection fails; of a primary
// that does not answer; and of one that is slower than the time of its requests.
// The wait in the target's queue is not an input: it differs by customer, and
// the queue itself refuses at once.
func (o *outlook) assess() verdict {
	switch {
	case o.Silent && o.Contact.lost(o.Now):
		return partitioned
	case o.FirstAttempt && o.Failures >= unresponsiveFailures && o.Now.Sub(o.FailedAt) < contactWindow:
		return unresponsive
	case o.Fastest > o.Left:
		return tooSlow
	}
	return feasible
}

// primaryWait returns how long a request waits for a service without a usable
// primary. Left is the time that the request has, and expected the time until
// there is a primary. The result is zero if the request cannot succeed.
//
// It responds to the load of a change of primary: all requests of the service
// arrive at VMs that cannot serve them yet.
func primaryWait(left, expected time.Duration) time.Duration {
	left -= minAttemptTime
	if expected > left {
		return 0
	}
	return left
}
