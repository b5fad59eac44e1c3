package siskin

import (
	"context"
	"time"
)

// TargetView is a Group's view of one target.
type TargetView struct {
	Status TargetStatus
	// Reachable is true if the target answered the last probe in time.
	Reachable bool
	// Staleness is the age of the data that reads on the target return, measured
	// against confirmed positions of the primary. It is negative when unknown.
	Staleness time.Duration
}

// GroupView is a snapshot of one group.
type GroupView struct {
	Term Term
	// Primary is empty while the group has none.
	Primary TargetID
	Targets []TargetView // ordered by id
	// RecordTerm is the term in the platform's record of the primary, as known
	// to the VM that returned the view; zero when unknown. It may lag behind Term.
	RecordTerm Term `json:"Recorded"`
}

// Target returns the view of one target.
func (v *GroupView) Target(id TargetID) (TargetView, bool) {
	for _, t := range v.Targets {
		if t.Status.ID == id {
			return t, true
		}
	}
	return TargetView{}, false
}

// Group monitors the targets of one service and initiates promotions.
type Group interface {
	// View returns the current snapshot.
	View() GroupView
	// Changed returns a channel that is closed when the term, the primary, or
	// the reachability or leaving state of a target changes.
	Changed() <-chan struct{}
	// Confirm waits until enough replicas have confirmed pos. Only after a nil
	// error may the write be acknowledged. Any other result means that the
	// outcome of the write is unknown.
	Confirm(ctx context.Context, pos Position) error
	// Floor returns a position at or after every write that was acknowledged
	// before the call.
	Floor(ctx context.Context) (Position, error)
	// AdmitWrite waits while a planned change of primary blocks writes, then
	// returns the primary and its term. The caller must call done when the
	// write's transaction has ended. IsNotRun is true for the kind of any error.
	AdmitWrite(ctx context.Context) (primary TargetID, term Term, done func(), err error)
	// ReportFailure reports a failed or unresponsive connection, so that the
	// target is probed immediately.
	ReportFailure(target TargetID, cause error)
}

// Groups looks up the Group of a service that this VM monitors.
type Groups interface {
	Group(service ServiceName) (Group, bool)
}
