package siskin

import (
	"context"
	"time"
)

// TargetID identifies one target of a group, such as "ledger-a/1".
type TargetID string

// Slot is the index of a slot of one target, from 0. A slot is a share of the
// target's connections that is owned by one VM as a unit.
type Slot int

// TargetRole is the replication role of a target in its group.
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

// TargetStatus is the status that a target reports.
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
	// Draining is true while a primary rejects new transactions that may write,
	// because of a planned change of primary or a claim of a later term.
	Draining bool
	// Running is the number of transactions in progress that may write.
	Running int
}

// Target is the control interface of one target.
type Target interface {
	// Status returns the target's current status.
	Status(ctx context.Context) (TargetStatus, error)
	// Wait returns the status as soon as the received position reaches pos in
	// the stream of pos.Term, or after max.
	Wait(ctx context.Context, pos Position, max time.Duration) (TargetStatus, error)
	// Claim sets the claimed term if term is larger than the current one.
	// The target then rejects the log of every older term.
	Claim(ctx context.Context, term Term, vm VMID) (TargetStatus, error)
	// Promote makes the target the primary of the term it was claimed for. It
	// fails unless this Target made the claim and the claim is still the highest.
	Promote(ctx context.Context, term Term) (TargetStatus, error)
	// Follow makes the target a replica of the given primary.
	Follow(ctx context.Context, primary TargetID, address string, term Term) error
	// Close releases the connection and waits for calls in progress.
	Close() error
}

// Drainer is implemented by a Target that can block new writes for a planned
// change of primary.
type Drainer interface {
	// Drain makes a primary reject new transactions that may write, without
	// running them, for at most hold, and returns the status. A hold of zero ends
	// the drain.
	Drain(ctx context.Context, hold time.Duration) (TargetStatus, error)
}

// TargetDialer opens the control interface of a target.
type TargetDialer interface {
	DialTarget(ctx context.Context, id TargetID, address string) (Target, error)
}
