package lease

import "siskintray.example/siskin"

// Poll counts what the replicas of a service tell of the lead of one term.
type Poll struct {
	// Term is the term that the primary leads.
	Term siskin.Term
	// SyncReplicas is the number of replicas that acknowledge a commit.
	SyncReplicas int
	// Replicas is the number of replicas that are known, and GroupSize that of targets,
	// the primary included, when none is missing.
	Replicas, GroupSize int

	trustedUnclaimed, unclaimed, withoutClaim int
}

// Add takes over the state of one replica. A witness has forgotten no claim that may
// still lead to a promotion.
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

// AddDown takes over that a replica does not run. An order for it fails, or finds it
// without its log and its claim.
func (p *Poll) AddDown() { p.withoutClaim++ }

// Confirmed reports whether no claim was complete before the first question, or each
// change with complete claims finds one of them lost before its order. Replicas that
// may have forgotten a claim show this together: the target of an order keeps its own
// claim until it is promoted, so that none is on its way when every target of the
// group is free.
func (p *Poll) Confirmed() bool {
	needed := Quorum(p.SyncReplicas)
	return p.trustedUnclaimed >= needed || p.unclaimed >= needed && p.withoutClaim == p.Replicas && p.withoutClaim+1 >= p.GroupSize
}
