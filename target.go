package siskin

import (
	"context"
	"time"
)

// TargetID names one target of a group, such as "ledger-a/1".
type TargetID string

// Slot numbers the slots of one target from 0. A slot is the unit in which
// connections of a target are owned by one VM.
type Slot int

// TargetRole is the part that a target plays in its group.
type TargetRole int

// Roles of a target.
const (
	RoleReplica TargetRole = iota
	RolePrimary
)

// String returns the role's name as it appears in JSON and logs.
func (r TargetRole) String() string {
	if r == RolePrimary {
		return "Primary"
	}
	return "Replica"
}

// TargetStatus is what a target reports of itself.
type TargetStatus struct {
	ID           TargetID
	Role         TargetRole
	ClaimedTerm  Term
	ClaimedBy    VMID
	StreamTerm   Term          // term of the primary whose log it follows; its own term on a primary
	LastTerm     Term          // term of the last log record
	Received     LSN           // end of the log received
	Applied      LSN           // end of the log applied
	HeardPrimary time.Duration // time since the last message of the primary's stream
	Leaving      bool
	// Draining says that a primary refuses new transactions that may write,
	// because of a planned change or a claim of a later term.
	Draining bool
	// Running is the number of transactions in progress that may write.
	Running int
}

// Target is the control interface of one target.
type Target interface {
	// Status reports the target's present state.
	Status(ctx context.Context) (TargetStatus, error)
	// Wait reports the state as soon as the received position reaches pos in
	// the stream of pos.Term, or after max.
	Wait(ctx context.Context, pos Position, max time.Duration) (TargetStatus, error)
	// Claim sets the claimed term if term is larger than the present one.
	// The target then refuses the log of every older term.
	Claim(ctx context.Context, term Term, vm VMID) (TargetStatus, error)
	// Promote makes the target the primary of the term it was claimed for. It
	// fails unless this Target made the claim and the claim is still the highest.
	Promote(ctx context.Context, term Term) (TargetStatus, error)
	// Follow makes the target a replica of the given primary.
	Follow(ctx context.Context, primary TargetID, address string, term Term) error
	// Close releases the connection and waits for calls in progress.
	Close() error
}

// Drainer is implemented by a Target that can hold new writes back for a
// planned change of primary.
type Drainer interface {
	// Drain makes a primary refuse new transactions that may write, as not run,
	// for at most hold, and reports the state. Zero ends the pause.
	Drain(ctx context.Context, hold time.Duration) (TargetStatus, error)
}

// TargetDialer opens the control interface of a target.
type TargetDialer interface {
	DialTarget(ctx context.Context, id TargetID, address string) (Target, error)
}
