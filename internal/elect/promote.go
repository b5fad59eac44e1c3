package elect

import (
	"context"
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/crew"
	"siskintray.example/siskin/internal/lease"
	"siskintray.example/siskin/internal/views"
)

// maxCheckAge is the age of the last check of the claims up to which a
// promotion is ordered without another check. It is shorter than the delay of
// another change that takes over the claims.
const maxCheckAge = lease.PromotionDelay / 2

// maxFencedCheckAge is the same if the platform checks fencing tokens. A token
// proves nothing about claims: the token of a VM that was suspended may be
// higher than that of the change which took over its claims. The check may have
// to wait for a silent target.
const maxFencedCheckAge = 2 * controlTimeout

// promote orders the promotion of the candidate and waits until it is primary.
func (c *change) promote(ctx context.Context) error {
	var err error
	token := c.token
	defer func() {
		if !c.unfenced {
			c.e.tokens.putBack(token)
		}
	}()
	for range maxPromotions {
		// Obtaining a token may wait for the store, so the claims are checked
		// after it.
		if !c.unfenced && token == 0 {
			if token, err = c.e.tokens.take(ctx, c.contested); err != nil {
				return err
			}
		}
		if err = c.recheckClaims(ctx); err != nil {
			return err
		}
		if !c.checkedRecently(c.e.cfg.Clock.Now()) {
			err = siskin.NewError(siskin.Unavailable, "the last check of the claims of term %d is too old", c.term)
			continue
		}
		c.e.tokens.recordUse(c.spec.Name, token, 0)
		err = c.e.cfg.Promoter.Promote(ctx, c.spec.Name, c.candidate.target.ID, c.e.cfg.Members.Self().ID, token)
		c.e.cfg.Log.Info().Str("Service", string(c.spec.Name)).Str("Target", string(c.candidate.target.ID)).
			Uint64("Fence", uint64(token)).AnErr("Error", err).Msg("ordered a promotion")
		if !c.unfenced {
			token = 0
		}
		c.e.tasks.Go(func() { c.e.tokens.fill(context.WithoutCancel(ctx)) })
		if err == nil {
			c.pending = true
			return c.awaitPromotion(ctx)
		}
		// A promotion without an answer may take effect later. If the platform
		// checks fencing tokens, the next promotion prevents this; otherwise
		// this change promotes the same target only, and its replicas stay
		// paused.
		if siskin.KindOf(err) == siskin.OutcomeUnknown {
			c.pending = true
			if c.confirmPromotion(ctx) {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return err
		case <-c.e.cfg.Clock.After(pollInterval):
		}
	}
	return err
}

// checkedRecently reports whether the last check of the claims is recent
// enough. A VM that was suspended may have lost them.
func (c *change) checkedRecently(now time.Time) bool {
	age := now.Sub(c.checkedAt)
	if c.unfenced {
		return age <= maxCheckAge
	}
	return age <= maxFencedCheckAge
}

// awaitPromotion waits until the candidate proves that it is primary.
func (c *change) awaitPromotion(ctx context.Context) error {
	deadline := c.e.cfg.Clock.Now().Add(promotionTimeout)
	for c.e.cfg.Clock.Now().Before(deadline) && ctx.Err() == nil {
		if c.confirmPromotion(ctx) {
			return nil
		}
		c.e.cfg.Clock.Sleep(pollInterval)
	}
	return siskin.NewError(siskin.Unavailable, "target %s was promoted but is not primary", c.candidate.target.ID)
}

// confirmPromotion asks the candidate to prove that it is primary and announces
// the result to the peers.
func (c *change) confirmPromotion(ctx context.Context) bool {
	if !c.candidateIsPrimary(ctx) {
		return false
	}
	c.pending, c.promoted = false, true
	c.e.cfg.Views.EndChange(c.spec.Name, c.oldPrimary)
	c.announce(0)
	return true
}

// candidateIsPrimary asks the candidate whether it is primary. Without
// fencing tokens, its answer is sufficient because no other change could promote
// another target since the claims were checked: its log has all commits that
// were acknowledged before.
func (c *change) candidateIsPrimary(ctx context.Context) bool {
	id := c.candidate.target.ID
	if !c.unfenced {
		return c.e.cfg.Homes.Ping(ctx, c.spec.Name, id) == nil
	}
	p, err := c.e.cfg.Homes.ProbePrimary(ctx, c.spec.Name, id)
	if err != nil {
		return false
	}
	s, err := c.control(ctx, id, siskin.Statement{Kind: siskin.Status})
	if err != nil || !s.Primary {
		return false
	}
	c.promotedTerm = s.Term
	c.e.tokens.recordUse(c.spec.Name, c.token, c.promotedTerm)
	c.e.cfg.Views.RecordProof(c.spec.Name, views.PrimaryProof{Target: id, Position: p, Term: c.promotedTerm, At: c.checkedAt})
	if c.oldPrimary == "" || c.oldPrimary == id || slices.ContainsFunc(c.claims, func(cl claim) bool { return cl.wasPrimary && cl.claimedAfterStepDown }) {
		c.oldSteppedDown.Store(true)
	} else {
		c.e.tasks.Go(c.stepDownOld)
	}
	return true
}

// announceStart makes all VMs use no primary of the service for the duration of
// the change.
func (c *change) announceStart() {
	c.e.cfg.Views.BeginChange(c.spec.Name, c.oldPrimary, c.e.cfg.Clock.Now().Add(changeNoticeTTL))
	c.announce(changeNoticeTTL)
}

// changeNoticeTTL bounds the time for which VMs consider a change to be in
// progress, in case its end is not announced.
const changeNoticeTTL = 1500 * time.Millisecond

// announceTimeout bounds one announcement.
const announceTimeout = 300 * time.Millisecond

// announce notifies all VMs that a change is in progress or, if noticeTTL is
// zero, that the candidate is primary.
func (c *change) announce(noticeTTL time.Duration) {
	self := c.e.cfg.Members.Self().ID
	args := &Announcement{From: self, Old: c.oldPrimary, Hold: crew.ChangeNotice{Service: c.spec.Name, For: noticeTTL}}
	if noticeTTL == 0 {
		args.Fence, args.Term = c.token, c.promotedTerm
	}
	for _, vm := range c.e.cfg.Members.Live() {
		if vm.ID == self {
			continue
		}
		c.e.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
			defer cancel()
			// A VM that misses the announcement learns of the change with the next ping.
			_ = c.e.cfg.Peers.Call(ctx, vm.ID, "Elect.Announce", args, &struct{}{})
		})
	}
}
