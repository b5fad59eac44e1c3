package retry

import (
	"time"

	"siskintray.example/siskin/pkg/config"
)

// Outcome is what is known about a failed attempt.
type Outcome int

// Proofs.
const (
	// Unknown means that the attempt may have taken effect.
	Unknown Outcome = iota
	// ReportedAbort means that the target reported the abort of the attempt.
	ReportedAbort
	// Unsent means that nothing of the attempt was sent to a target.
	Unsent
	// Refused means that the target refused the attempt before it ran anything,
	// and that the writes that follow wait until the group has changed.
	Refused
)

// NotRun reports whether the proof shows that nothing took effect.
func (p Outcome) NotRun() bool { return p != Unknown }

// SkipsBudget reports whether another attempt waits rather than adds load, so that it
// needs no budget.
func (p Outcome) SkipsBudget() bool { return p == Unsent || p == Refused }

// Attempt describes one failed attempt.
type Attempt struct {
	Outcome    Outcome
	Mode       config.RouteMode
	Repeatable bool
	// Answered says that at least one byte of a response went to the caller.
	Answered bool
	// Replayable says that the request is still held and can be sent again.
	Replayable bool
	Now        time.Time
	Deadline   time.Time
	// Delay is the wait before the next attempt.
	Delay time.Duration
}

// Decision is the result of Decide.
type Decision int

// Verdicts.
const (
	// Retry sends the request again, if the budget allows it.
	Retry Decision = iota
	// RefuseNotRun ends the request with a refusal that says "not run".
	RefuseNotRun
	// RefuseUnknown ends the request with "outcome unknown".
	RefuseUnknown
)

// Decide returns what to do after a failed attempt. Only work that did not run,
// or a repeatable request of a read route, is sent again, and only before the
// first byte of a response went out.
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
