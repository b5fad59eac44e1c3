package lease

import "siskintray.example/siskin"

// Poll evaluates the answers of a service's replicas about the primary of one
// term.
type Poll struct {
	// Term is the term of the primary.
	Term siskin.Term
	// SyncReplicas is the number of replicas that must receive a commit.
	SyncReplicas int
	// Replicas is the number of known replicas. GroupSize is the number of
	// targets, including the primary, in a complete group.
	Replicas, GroupSize int

	// unclaimed counts the replicas that follow Term and are not claimed, and
	// trustedUnclaimed the trusted ones of them. withoutClaim counts all
	// replicas that have no claim: it includes those that follow an earlier
	// term or are not running.
	trustedUnclaimed, unclaimed, withoutClaim int
}

// Add counts the state of one replica. A trusted replica has lost no claim that
// may still lead to a promotion.
func (p *Poll) Add(s siskin.ControlStatus, trusted bool) {
	if !s.Primary && s.PauseTerm <= s.Term {
		p.withoutClaim++
	}
	if Unclaimed(s, p.Term) {
		p.unclaimed++
		if trusted {
			p.trustedUnclaimed++
		}
	}
}

// AddDraining counts the state of a replica that drains. It confirms nothing,
// since a change of primary need not claim it, but its claim counts.
func (p *Poll) AddDraining(s siskin.ControlStatus) {
	if !s.Primary && s.PauseTerm <= s.Term {
		p.withoutClaim++
	}
}

// AddDown counts a replica that is not running. A promotion of it fails, or
// finds it without its log and its claim.
func (p *Poll) AddDown() { p.withoutClaim++ }

// Confirmed reports whether the replicas confirm the primary: either no change
// had all its claims before the first query, or each such change will find one
// of its claims lost before it orders the promotion. Untrusted replicas prove
// the latter only if no target of the group is claimed: the target of a
// promotion keeps its own claim until it is promoted, so no promotion is in
// flight then.
func (p *Poll) Confirmed() bool {
	needed := Quorum(p.SyncReplicas)
	return p.trustedUnclaimed >= needed || p.unclaimed >= needed && p.withoutClaim == p.Replicas && p.withoutClaim+1 >= p.GroupSize
}
