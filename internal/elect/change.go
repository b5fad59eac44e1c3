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
	e       *Elector
	spec    siskin.ServiceSpec
	old     siskin.TargetID
	start   time.Time
	planned bool // the old primary is healthy and about to stop, or evacuated
	stalled bool // the old primary answers, but not to its replicas
	// unfenced says that the platform checks no fences and leaves the old
	// primary leading. The fence of such a change is the term of its claims.
	unfenced bool
	fence    siskin.FencingToken
	term     siskin.Term
	// own is the term of the last claims of this VM, zero when a promotion that was
	// ordered with them, or before them by another change, may still take effect.
	own siskin.Term
	// leadTerm is the newest term of a primary that a target knows, and heldTerm
	// that of a claim.
	leadTerm, heldTerm siskin.Term
	newTerm            siskin.Term // of the chosen target once it leads
	// overtook says that another change had claimed targets, whose order may be on
	// its way.
	overtook bool
	// retired says that the old primary leads no more.
	retired atomic.Bool
	// checked is the moment before the claims were last found to hold.
	checked time.Time
	claims  []claim
	chosen  claim
	// pending says that an order may still be carried out, led that the chosen
	// target leads.
	pending, led bool
}

// run carries the change out. Replicas that were claimed receive again at its
// end, whatever the result.
func (c *change) run(ctx context.Context) error {
	if err := c.inspect(ctx); err != nil {
		return err
	}
	c.hold()
	defer c.unpause()
	err := c.choose(ctx)
	if err != nil {
		return err
	}
	if c.planned {
		err = c.stepDownFirst(ctx)
	} else {
		err = c.claimAll(ctx)
	}
	if err != nil {
		return err
	}
	if err := c.settle(ctx); err != nil {
		return err
	}
	return c.promote(ctx)
}

// choose replaces the term of the claims where the platform checks no fences. It
// is the fence then: two changes share a claimed target, so that the one with the
// lower fence finds the claim of the other and gives up.
func (c *change) choose(ctx context.Context) error {
	if !c.unfenced {
		return nil
	}
	var err error
	if c.fence, err = c.e.fence.takeAbove(ctx, c.spec.Name, c.leadTerm, siskin.FencingToken(max(c.leadTerm, c.heldTerm))); err != nil {
		return err
	}
	c.term = siskin.Term(c.fence)
	return nil
}

// settle waits until the promotion may be ordered.
func (c *change) settle(ctx context.Context) error {
	if c.planned {
		return nil
	}
	left := waitUntil(c.claims, c.term, c.overtook).Sub(c.e.cfg.Clock.Now())
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
	c.each(ctx, targets, func(ctx context.Context, cl *claim) {
		cl.status, cl.err = c.control(ctx, cl.target.ID, siskin.Statement{Kind: siskin.Status})
	})
	answered := 0
	for i := range c.claims {
		cl := &c.claims[i]
		if cl.err != nil {
			continue
		}
		answered++
		c.leadTerm, c.heldTerm = max(c.leadTerm, cl.status.Term, cl.status.Received.Term), max(c.heldTerm, cl.status.PauseTerm)
		if cl.status.Primary && cl.target.ID != c.old && c.e.cfg.Homes.Ping(ctx, c.spec.Name, cl.target.ID) == nil {
			return siskin.NewError(siskin.Conflict, "target %s leads already", cl.target.ID)
		}
	}
	c.term = claimTerm(max(c.leadTerm, c.heldTerm), rand.N(termSpread))
	// A replica that is not listed has no part in a planned change, whose primary
	// leads no more before another target is promoted.
	if !c.planned {
		c.addUnlisted()
	}
	markBlank(c.claims, c.e.cfg.Views.LatestProof(c.spec.Name).Position)
	// A primary that answers here is given up only if its replicas can take over:
	// this VM may share its cut, and other VMs see to the rest.
	if (c.planned || c.stalled) && !replicasAnswer(c.claims, c.spec.SyncReplicas) {
		return siskin.NewError(siskin.Unavailable, "the replicas of %s do not answer", c.spec.Name).WithRemedy("restore the network")
	}
	// A replica that is paused in vain acknowledges nothing for a primary that
	// other VMs may still reach, so nothing is claimed without a prospect.
	if !prospect(c.claims, c.spec.SyncReplicas) {
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

// stepDownFirst claims the primary alone and waits for a replica to receive
// the end of its log. The replicas go on receiving.
func (c *change) stepDownFirst(ctx context.Context) error {
	if c.unfenced {
		// The old primary is the present one only if its replicas say so.
		if err := c.e.cfg.Homes.Ping(ctx, c.spec.Name, c.old); err != nil {
			return err
		}
	}
	status, err := c.control(ctx, c.old, siskin.Statement{Kind: siskin.StepDown, Term: c.term})
	if err != nil {
		return err
	}
	if c.unfenced && !c.e.cfg.Leases.Valid(c.old, c.e.cfg.Clock.Now()) {
		return siskin.NewError(siskin.Conflict, "the replicas of %s did not confirm that %s led when it stepped down", c.spec.Name, c.old)
	}
	end := status.Received
	deadline := c.e.cfg.Clock.Now().Add(catchUpTimeout)
	for {
		if best, ok := c.received(ctx, end); ok {
			c.chosen = best
			return nil
		}
		if c.e.cfg.Clock.Now().After(deadline) || ctx.Err() != nil {
			// The old primary has everything, so it leads again if no replica does.
			c.chosen = claim{target: siskin.TargetInfo{ID: c.old, Service: c.spec.Name}, status: status, primary: true}
			return nil
		}
		c.e.cfg.Clock.Sleep(pollInterval)
	}
}

// received returns a replica that stays and has received the log up to end.
func (c *change) received(ctx context.Context, end siskin.Position) (claim, bool) {
	targets := c.e.cfg.Roster.Service(c.spec.Name)
	c.claims = make([]claim, len(targets))
	c.each(ctx, targets, func(ctx context.Context, cl *claim) {
		cl.status, cl.err = c.control(ctx, cl.target.ID, siskin.Statement{Kind: siskin.Status})
	})
	var best claim
	for _, cl := range c.claims {
		if cl.err != nil || cl.primary || leaving(&cl.target) || cl.status.Received.Compare(end) < 0 {
			continue
		}
		if best.target.ID == "" || cl.status.Lag < best.status.Lag {
			best = cl
		}
	}
	return best, best.target.ID != ""
}
