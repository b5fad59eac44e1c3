package elect

import (
	"context"
	"sync"

	"siskintray.example/siskin"
)

// recheckClaims queries the claimed targets again. A target that has restarted
// has lost its claim and its log.
func (c *change) recheckClaims(ctx context.Context) error {
	c.checkedAt = c.e.cfg.Clock.Now()
	// The candidate of a planned change has the whole log of the primary.
	if s := c.e.cfg.ListState(); s != siskin.ListCurrent && !c.planned {
		return siskin.NewError(siskin.Unavailable, "the list of the targets of %s is no longer current: %s", c.spec.Name, s).WithRemedy("restore the store or the network between the VMs")
	}
	if id, ok := joinedTarget(c.claims, c.e.cfg.Roster.Service(c.spec.Name)); ok {
		return siskin.NewError(siskin.Conflict, "target %s joined after the claims of term %d", id, c.term).WithRemedy("claim again")
	}
	c.addUnlisted() // discovery may have removed targets since the claims
	var wg sync.WaitGroup
	rechecked := make([]claim, len(c.claims))
	for i := range c.claims {
		rechecked[i] = c.claims[i]
		if !rechecked[i].holds(c.term) {
			continue
		}
		wg.Go(func() {
			rechecked[i].status, rechecked[i].err = c.control(ctx, rechecked[i].target.ID, siskin.Statement{Kind: siskin.Status})
		})
	}
	wg.Wait()
	return c.compare(rechecked)
}

// compare compares the claims with the later state of the targets. It returns
// an error if the candidate may lack acknowledged commits.
func (c *change) compare(rechecked []claim) error {
	for i := range rechecked {
		cl := &rechecked[i]
		switch {
		case cl.err != nil:
		case cl.status.Term > c.primaryTerm:
			// The promotion of the other change took effect. Without fencing
			// tokens, a former primary may still run, so the replicas stay
			// paused.
			c.contested = c.contested && c.unfenced
			return siskin.NewError(siskin.Conflict, "target %s follows term %d, but the claims of term %d supersede only term %d", cl.target.ID, cl.status.Term, c.term, c.primaryTerm)
		case cl.status.Received.Compare(c.claims[i].status.Received) < 0:
			cl.err = siskin.NewError(siskin.Unavailable, "target %s has restarted", cl.target.ID)
		}
		if cl.target.ID == c.candidate.target.ID && !cl.holds(c.term) {
			return siskin.NewError(siskin.Conflict, "target %s lost its claim", cl.target.ID)
		}
	}
	// Now that some claims are lost, another target may be the best candidate.
	if best, ok := bestCandidate(rechecked, c.term, c.spec.SyncReplicas); ok && best.status.Received.Compare(c.candidate.status.Received) > 0 {
		return siskin.NewError(siskin.Conflict, "target %s has commits that target %s lacks", best.target.ID, c.candidate.target.ID).WithRemedy("claim again")
	}
	if !hasQuorum(rechecked, c.term, c.spec.SyncReplicas) {
		return siskin.NewError(siskin.Conflict, "too few claims of term %d remain", c.term).WithRemedy("claim again")
	}
	return nil
}
