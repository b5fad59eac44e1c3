package elect

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
)

const (
	// controlTimeout bounds one control statement at a target. It takes a round
	// trip, and the opening of a connection.
	controlTimeout = 250 * time.Millisecond
	// pollInterval is the time between two looks at a target during a change.
	pollInterval = 30 * time.Millisecond
	// catchUpTimeout bounds the wait for a replica to receive the end of the
	// log of a primary that stepped down.
	catchUpTimeout = 700 * time.Millisecond
	// leadTimeout bounds the wait for a promoted target to lead.
	leadTimeout = 2500 * time.Millisecond
	// maxPromotions bounds the calls for one change.
	maxPromotions = 4
)

// change is one change of a primary.
type change struct {
	e          *Elector
	spec       siskin.ServiceSpec
	oldPrimary siskin.TargetID
	start      time.Time
	planned    bool // the old primary is healthy and about to stop, or evacuated
	stalled    bool // the old primary answers, but not to its replicas
	// unfenced says that the platform checks no fences and leaves the old
	// primary leading. The fence of such a change is the term of its claims.
	unfenced bool
	token    siskin.FencingToken
	term     siskin.Term
	// ownTerm is the term of the last claims of this VM, zero when a promotion that was
	// ordered with them, or before them by another change, may still take effect.
	ownTerm siskin.Term
	// primaryTerm is the newest term of a primary that a target knows, and maxPauseTerm
	// that of a claim.
	primaryTerm, maxPauseTerm siskin.Term
	promotedTerm              siskin.Term // of the chosen target once it leads
	// contested says that another change had claimed targets, whose order may be on
	// its way.
	contested bool
	// oldSteppedDown says that the old primary leads no more.
	oldSteppedDown atomic.Bool
	// checkedAt is the moment before the claims were last found to hold.
	checkedAt time.Time
	claims    []claim
	candidate claim
	// pending says that an order may still be carried out, promoted that the chosen
	// target leads.
	pending, promoted bool
}

// run carries the change out. Replicas that were claimed receive again at its
// end, whatever the result.
func (c *change) run(ctx context.Context) error {
	if err := c.inspect(ctx); err != nil {
		return err
	}
	c.holdRequests()
	defer c.unpause()
	err := c.chooseTerm(ctx)
	if err != nil {
		return err
	}
	if c.planned {
		err = c.stepDownAndCatchUp(ctx)
	} else {
		err = c.claimAll(ctx)
	}
	if err != nil {
		return err
	}
	if err := c.awaitPromotionDelay(ctx); err != nil {
		return err
	}
	return c.promote(ctx)
}

// chooseTerm replaces the term of the claims where the platform checks no fences. It
// is the fence then: two changes share a claimed target, so that the one with the
// lower fence finds the claim of the other and gives up.
func (c *change) chooseTerm(ctx context.Context) error {
	if !c.unfenced {
		return nil
	}
	var err error
	if c.token, err = c.e.tokens.takeAbove(ctx, c.spec.Name, c.primaryTerm, siskin.FencingToken(max(c.primaryTerm, c.maxPauseTerm))); err != nil {
		return err
	}
	c.term = siskin.Term(c.token)
	return nil
}

// awaitPromotionDelay waits until the promotion may be ordered.
func (c *change) awaitPromotionDelay(ctx context.Context) error {
	if c.planned {
		return nil
	}
	left := promotionTime(c.claims, c.term, c.contested).Sub(c.e.cfg.Clock.Now())
	if left <= 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.e.cfg.Clock.After(left):
		return nil
	}
}

// inspect asks all targets for their state and chooses the new term.
func (c *change) inspect(ctx context.Context) error {
	targets := c.e.cfg.Roster.Service(c.spec.Name)
	c.claims = make([]claim, len(targets))
	c.askAll(ctx, targets, func(ctx context.Context, cl *claim) {
		cl.status, cl.err = c.control(ctx, cl.target.ID, siskin.Statement{Kind: siskin.Status})
	})
	answered := 0
	for i := range c.claims {
		cl := &c.claims[i]
		if cl.err != nil {
			continue
		}
		answered++
		c.primaryTerm, c.maxPauseTerm = max(c.primaryTerm, cl.status.Term, cl.status.Received.Term), max(c.maxPauseTerm, cl.status.PauseTerm)
		if cl.status.Primary && cl.target.ID != c.oldPrimary && c.e.cfg.Homes.Ping(ctx, c.spec.Name, cl.target.ID) == nil {
			return siskin.NewError(siskin.Conflict, "target %s leads already", cl.target.ID)
		}
	}
	c.term = claimTerm(max(c.primaryTerm, c.maxPauseTerm), rand.N(termJitter))
	// A replica that is not listed has no part in a planned change, whose primary
	// leads no more before another target is promoted.
	if !c.planned {
		c.addUnlisted()
	}
	markEmptyLogs(c.claims, c.e.cfg.Views.LatestProof(c.spec.Name).Position)
	// A primary that answers here is given up only if its replicas can take over:
	// this VM may share its cut, and other VMs see to the rest.
	if (c.planned || c.stalled) && !replicasAnswer(c.claims, c.spec.SyncReplicas) {
		return siskin.NewError(siskin.Unavailable, "the replicas of %s do not answer", c.spec.Name).WithRemedy("restore the network")
	}
	// A replica that is paused in vain acknowledges nothing for a primary that
	// other VMs may still reach, so nothing is claimed without a prospect.
	if !canSucceed(c.claims, c.spec.SyncReplicas) {
		return siskin.NewError(siskin.Unavailable, "only %d of %d targets of %s answer", answered, len(targets), c.spec.Name).WithRemedy("restore the targets or the network")
	}
	return nil
}

// control sends control statements to a target and returns its state after the
// last one.
func (c *change) control(ctx context.Context, id siskin.TargetID, list ...siskin.Statement) (siskin.ControlStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	answers, err := c.e.cfg.Homes.Control(ctx, id, list...)
	if err != nil {
		return siskin.ControlStatus{}, err
	}
	return c.e.cfg.Status(&answers[len(answers)-1])
}

// stepDownAndCatchUp claims the primary alone and waits for a replica to receive
// the end of its log. The replicas go on receiving.
func (c *change) stepDownAndCatchUp(ctx context.Context) error {
	if c.unfenced {
		// The old primary is the present one only if its replicas say so.
		if err := c.e.cfg.Homes.Ping(ctx, c.spec.Name, c.oldPrimary); err != nil {
			return err
		}
	}
	status, err := c.control(ctx, c.oldPrimary, siskin.Statement{Kind: siskin.StepDown, Term: c.term})
	if err != nil {
		return err
	}
	if c.unfenced && !c.e.cfg.Leases.Valid(c.oldPrimary, c.e.cfg.Clock.Now()) {
		return siskin.NewError(siskin.Conflict, "the replicas of %s did not confirm that %s led when it stepped down", c.spec.Name, c.oldPrimary)
	}
	end := status.Received
	deadline := c.e.cfg.Clock.Now().Add(catchUpTimeout)
	for {
		if best, ok := c.caughtUpReplica(ctx, end); ok {
			c.candidate = best
			return nil
		}
		if c.e.cfg.Clock.Now().After(deadline) || ctx.Err() != nil {
			// The old primary has everything, so it leads again if no replica does.
			c.candidate = claim{target: siskin.TargetInfo{ID: c.oldPrimary, Service: c.spec.Name}, status: status, wasPrimary: true}
			return nil
		}
		c.e.cfg.Clock.Sleep(pollInterval)
	}
}

// caughtUpReplica returns a replica that stays and has caughtUpReplica the log up to end.
func (c *change) caughtUpReplica(ctx context.Context, end siskin.Position) (claim, bool) {
	targets := c.e.cfg.Roster.Service(c.spec.Name)
	c.claims = make([]claim, len(targets))
	c.askAll(ctx, targets, func(ctx context.Context, cl *claim) {
		cl.status, cl.err = c.control(ctx, cl.target.ID, siskin.Statement{Kind: siskin.Status})
	})
	var best claim
	for _, cl := range c.claims {
		if cl.err != nil || cl.wasPrimary || avoidAsPrimary(&cl.target) || cl.status.Received.Compare(end) < 0 {
			continue
		}
		if best.target.ID == "" || cl.status.Lag < best.status.Lag {
			best = cl
		}
	}
	return best, best.target.ID != ""
}
