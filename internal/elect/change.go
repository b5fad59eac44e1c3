package elect

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
)

const (
	// controlTimeout bounds one control statement at a target. It covers a
	// round trip and opening a connection.
	controlTimeout = 250 * time.Millisecond
	// pollInterval is the time between two polls of a target during a change.
	pollInterval = 30 * time.Millisecond
	// catchUpTimeout bounds the wait for a replica to receive the end of the
	// log of a primary that stepped down.
	catchUpTimeout = 700 * time.Millisecond
	// promotionTimeout bounds the wait for a promoted target to become primary.
	promotionTimeout = 2500 * time.Millisecond
	// maxPromotions bounds the promotion calls of one change.
	maxPromotions = 4
)

// change is one change of a service's primary.
type change struct {
	e          *Elector
	spec       siskin.ServiceSpec
	oldPrimary siskin.TargetID
	start      time.Time
	planned    bool // the old primary is healthy but draining or evacuated
	stalled    bool // the old primary answers but is cut off from its replicas
	// unfenced reports that the platform checks no fencing tokens and does not
	// demote the old primary. The fencing token of such a change is the term of
	// its claims.
	unfenced bool
	token    siskin.FencingToken
	term     siskin.Term
	// ownTerm is the term of the last claims of this VM. It is zero if a
	// promotion that was ordered with these claims, or earlier by another
	// change, may still take effect.
	ownTerm siskin.Term
	// primaryTerm is the newest term of a primary known to a target, and
	// maxPauseTerm that of a claim.
	primaryTerm, maxPauseTerm siskin.Term
	promotedTerm              siskin.Term // of the candidate once it is primary
	// contested reports that another change had claimed targets. Its promotion
	// may be in flight.
	contested bool
	// oldSteppedDown reports that the old primary is no longer primary.
	oldSteppedDown atomic.Bool
	// checkedAt is the moment before the last successful check of the claims.
	checkedAt time.Time
	claims    []claim
	candidate claim
	// pending reports that a promotion may still take effect, and promoted that
	// the candidate is primary.
	pending, promoted bool
}

// run carries out the change. It resumes the claimed replicas at the end,
// whether it succeeds or not.
func (c *change) run(ctx context.Context) error {
	if err := c.inspect(ctx); err != nil {
		return err
	}
	c.announceStart()
	defer c.unpause()
	err := c.chooseTerm(ctx)
	if err != nil {
		return err
	}
	if c.planned {
		err = c.stepDownAndClaim(ctx)
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

// chooseTerm replaces the term of the claims if the platform checks no fencing
// tokens. The term is the fencing token then: two changes have a claimed target
// in common, so the one with the lower token finds the claim of the other and
// gives up.
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

// inspect queries the state of all targets and chooses the new term.
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
			return siskin.NewError(siskin.Conflict, "target %s is already the primary", cl.target.ID)
		}
	}
	c.term = claimTerm(max(c.primaryTerm, c.maxPauseTerm), rand.N(termJitter))
	// The primary of a planned change steps down before another target is
	// promoted, so it needs no answer of replicas that discovery does not list.
	if !c.planned {
		c.addUnlisted()
	}
	markEmptyLogs(c.claims, c.e.cfg.Views.LatestProof(c.spec.Name).Position)
	// A primary that answers this VM is replaced only if its replicas can take
	// over. This VM may be in the same network partition as the primary; if so,
	// other VMs replace it.
	if (c.planned || c.stalled) && !replicasAnswer(c.claims, c.spec.SyncReplicas) {
		return siskin.NewError(siskin.Unavailable, "the replicas of %s do not answer", c.spec.Name).WithRemedy("restore the network")
	}
	c.addUnlisted()
	// A paused replica acknowledges nothing for a primary that other VMs may
	// still reach, so nothing is claimed unless the change can succeed.
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
