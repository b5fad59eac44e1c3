package elect

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

// stepDownAndClaim makes the primary step down, waits for a replica to receive
// the end of its log, and claims all targets. The claims show other VMs that a
// promotion may be in flight, also when this VM crashes or is suspended after
// it has ordered one.
func (c *change) stepDownAndClaim(ctx context.Context) error {
	if c.unfenced {
		// Only the replicas can confirm that the old primary is the current
		// one.
		if err := c.e.cfg.Homes.Ping(ctx, c.spec.Name, c.oldPrimary); err != nil {
			return err
		}
	}
	old := claim{target: siskin.TargetInfo{ID: c.oldPrimary, Service: c.spec.Name}, wasPrimary: true}
	if info, ok := c.e.cfg.Roster.Target(c.oldPrimary); ok {
		old.target = info
	}
	c.claimOne(ctx, &old, true)
	old.answeredAt = c.e.cfg.Clock.Now()
	if old.err != nil {
		return old.err
	}
	if c.unfenced && !c.e.cfg.Leases.Valid(c.oldPrimary, old.answeredAt) {
		return siskin.NewError(siskin.Conflict, "the replicas of %s did not confirm that %s was the primary when it stepped down", c.spec.Name, c.oldPrimary)
	}
	end := old.status.Received
	deadline := c.e.cfg.Clock.Now().Add(catchUpTimeout)
	for !c.replicaCaughtUp(ctx, end) && c.e.cfg.Clock.Now().Before(deadline) && ctx.Err() == nil {
		c.e.cfg.Clock.Sleep(pollInterval)
	}
	if err := c.claimReplicas(ctx, &old, deadline); err != nil {
		return err
	}
	// The old primary has the whole log, so it is promoted again if no replica
	// has caught up.
	c.candidate = old
	if best, ok := bestFollower(c.claims, end, func(cl *claim) bool { return cl.holds(c.term) }); ok {
		c.candidate = best
	}
	return nil
}

// replicaCaughtUp reports whether a replica that may become the primary has
// received the log up to end.
func (c *change) replicaCaughtUp(ctx context.Context, end siskin.Position) bool {
	targets := c.e.cfg.Roster.Service(c.spec.Name)
	c.claims = make([]claim, len(targets))
	c.askAll(ctx, targets, func(ctx context.Context, cl *claim) {
		cl.status, cl.err = c.control(ctx, cl.target.ID, siskin.Statement{Kind: siskin.Status})
	})
	_, ok := bestFollower(c.claims, end, func(cl *claim) bool { return cl.err == nil })
	return ok
}

// bestFollower returns the replica with the least lag of those that are neither
// draining nor evacuated, have received the log up to end, and are usable.
func bestFollower(claims []claim, end siskin.Position, usable func(*claim) bool) (claim, bool) {
	var best claim
	for i := range claims {
		cl := &claims[i]
		if cl.target.ID == "" || cl.wasPrimary || !usable(cl) || avoidAsPrimary(&cl.target) || cl.status.Received.Compare(end) < 0 {
			continue
		}
		if best.target.ID == "" || cl.status.Lag < best.status.Lag {
			best = *cl
		}
	}
	return best, best.target.ID != ""
}

// claimReplicas claims all targets but the old primary, which is claimed
// already. It repeats failed claims until the deadline while they are too few.
func (c *change) claimReplicas(ctx context.Context, old *claim, deadline time.Time) error {
	targets := c.e.cfg.Roster.Service(c.spec.Name)
	held := map[siskin.TargetID]claim{c.oldPrimary: *old}
	for {
		c.claims = make([]claim, len(targets))
		c.askAll(ctx, targets, func(ctx context.Context, cl *claim) {
			if earlier, ok := held[cl.target.ID]; ok {
				*cl = earlier
				return
			}
			c.claimOne(ctx, cl, false)
		})
		for i := range c.claims {
			cl := &c.claims[i]
			if earlier, ok := held[cl.target.ID]; ok {
				cl.answeredAt = earlier.answeredAt
			} else if cl.holds(c.term) {
				held[cl.target.ID] = *cl
			}
			c.contested = c.contested || cl.contested
		}
		c.addUnlisted()
		markEmptyLogs(c.claims, old.status.Received)
		if hasQuorum(c.claims, c.term, c.spec.SyncReplicas) {
			break
		}
		if !c.e.cfg.Clock.Now().Before(deadline) || ctx.Err() != nil {
			return siskin.NewError(siskin.Unavailable, "too few targets of %s could be claimed for term %d", c.spec.Name, c.term).WithRemedy("restore a target")
		}
		c.ownTerm = c.term // a claim whose answer was lost is this change's own
		c.e.cfg.Clock.Sleep(pollInterval)
	}
	for i := range c.claims {
		c.logClaim(&c.claims[i], "claimed a target for a planned change")
	}
	return nil
}
