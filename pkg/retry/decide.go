package retry

import (
	"time"

	"siskintray.example/siskin/pkg/config"
)

// Outcome is what is known about the effect of a failed attempt.
type Outcome int

// Values of Outcome.
const (
	// Unknown means that the attempt may have taken effect.
	Unknown Outcome = iota
	// ReportedAbort means that the target reported that it aborted the attempt.
	ReportedAbort
	// Unsent means that nothing of the attempt was sent to a target.
	Unsent
	// Refused means that the target refused the attempt before it ran anything,
	// and that later writes wait until the group has changed its primary.
	Refused
)

// NotRun reports whether the attempt certainly had no effect.
func (p Outcome) NotRun() bool { return p != Unknown }

// SkipsBudget reports whether a retry needs no budget, because it waits instead
// of adding load.
func (p Outcome) SkipsBudget() bool { return p == Unsent || p == Refused }

// Attempt describes one failed attempt.
type Attempt struct {
	Outcome    Outcome
	Mode       config.RouteMode
	Repeatable bool
	// Answered reports whether at least one byte of a response was sent to the
	// caller.
	Answered bool
	// Replayable reports whether the request is still buffered and can be sent
	// again.
	Replayable bool
	Now        time.Time
	Deadline   time.Time
	// Delay is the delay before the next attempt.
	Delay time.Duration
}

// Decision is the result of Decide.
type Decision int

// Values of Decision.
const (
	// Retry means to send the request again, if the budget allows it.
	Retry Decision = iota
	// RefuseNotRun means to fail the request with an error that it was not run.
	RefuseNotRun
	// RefuseUnknown means to fail the request with an error that its outcome is
	// unknown.
	RefuseUnknown
)

// Decide returns what to do after a failed attempt. A request is retried only if
// it did not run or is a repeatable request on a read route, and only before the
// first byte of a response was sent to the caller and before its deadline.
func Decide(a Attempt) Decision {
	mayRepeat := a.Outcome.NotRun() || (a.Mode == config.ReadRoute && a.Repeatable)
	inTime := a.Now.Add(a.Delay).Before(a.Deadline)
	if mayRepeat && inTime && !a.Answered && a.Replayable {
		return Retry
	}
	if a.Outcome.NotRun() {
		return RefuseNotRun
	}
	return RefuseUnknown
}
