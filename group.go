package siskin

import (
	"context"
	"time"
)

// TargetView is what a Group knows of one target.
type TargetView struct {
	Status TargetStatus
	// Reachable says that the target answered the last probe in time.
	Reachable bool
	// Staleness is the age of the data that reads at the target see, measured
	// against confirmed positions of the primary. It is negative when unknown.
	Staleness time.Duration
}

// GroupView is a snapshot of one group.
type GroupView struct {
	Term Term
	// Primary is empty while the group has none.
	Primary TargetID
	Targets []TargetView // ordered by id
	// RecordTerm is the term of the platform's record of the primary, as far as
	// the VM that gave the view knows; zero when unknown. It may lag behind Term.
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

// Group watches the targets of one service and orders promotions.
type Group interface {
	// View returns the present snapshot.
	View() GroupView
	// Changed returns a channel that is closed when the term, the primary, or
	// the reachability or leaving state of a target changes.
	Changed() <-chan struct{}
	// Confirm waits until enough replicas confirmed pos. A nil error is the
	// permission to acknowledge the write. Every other result means that the
	// outcome of the write is unknown.
	Confirm(ctx context.Context, pos Position) error
	// Floor returns a position that covers every write acknowledged before the
	// call.
	Floor(ctx context.Context) (Position, error)
	// AdmitWrite waits while a planned change of primary holds writes back and
	// returns the primary and its term. The caller must call done when the
	// write's transaction has ended. An error is of a kind with IsNotRun.
	AdmitWrite(ctx context.Context) (primary TargetID, term Term, done func(), err error)
	// ReportFailure reports a failed or silent connection, so that the target is
	// probed at once.
	ReportFailure(target TargetID, cause error)
}

// Groups finds the Group of a service that this VM watches.
type Groups interface {
	Group(service ServiceName) (Group, bool)
}
