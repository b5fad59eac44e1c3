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

// maxCheckAge is the age of the last check of the claims up to which a promotion
// is ordered without another one. It is shorter than the wait of another change
// that takes claims over.
const maxCheckAge = lease.Wait / 2

// promote orders the promotion of the chosen target and waits until it leads.
func (c *change) promote(ctx context.Context) error {
	var err error
	for range maxPromotions {
		if err = c.stillClaimed(ctx); err != nil {
			return err
		}
		fence := c.fence
		if !c.unfenced {
			if fence, err = c.e.fence.take(ctx); err != nil {
				return err
			}
		} else if c.e.cfg.Clock.Since(c.checked) > maxCheckAge {
			// This VM may have stood still, so that the claims are gone.
			err = siskin.NewError(siskin.Unavailable, "the claims of term %d were checked too long ago", c.term)
			continue
		}
		c.e.fence.note(c.spec.Name, fence, 0)
		err = c.e.cfg.Promoter.Promote(ctx, c.spec.Name, c.chosen.target.ID, c.e.cfg.Members.Self().ID, fence)
		c.e.cfg.Log.Info().Str("Service", string(c.spec.Name)).Str("Target", string(c.chosen.target.ID)).
			Uint64("Fence", uint64(fence)).AnErr("Error", err).Msg("ordered a promotion")
		c.e.done.Go(func() { c.e.fence.reserve(context.WithoutCancel(ctx)) })
		if err == nil {
			c.pending = true
			return c.awaitLead(ctx)
		}
		// An order without an answer may be carried out later; a higher fence
		// keeps it from taking effect after the next one.
		if siskin.KindOf(err) == siskin.OutcomeUnknown {
			c.pending = true
			if c.leads(ctx) {
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

// awaitLead waits until the chosen target proves its lead.
func (c *change) awaitLead(ctx context.Context) error {
	deadline := c.e.cfg.Clock.Now().Add(leadTimeout)
	for c.e.cfg.Clock.Now().Before(deadline) && ctx.Err() == nil {
		if c.leads(ctx) {
			return nil
		}
		c.e.cfg.Clock.Sleep(pollInterval)
	}
	return siskin.NewError(siskin.Unavailable, "target %s was promoted and does not lead", c.chosen.target.ID)
}

// leads asks the chosen target for a proof and tells the peers of it.
func (c *change) leads(ctx context.Context) bool {
	if !c.chosenLeads(ctx) {
		return false
	}
	c.pending, c.led = false, true
	c.e.cfg.Views.Hold(c.spec.Name, time.Time{})
	c.announce(0)
	return true
}

// chosenLeads asks the chosen target whether it leads. Where former primaries
// lead on, its answer counts because nobody but this change could promote
// another target since the claims were checked: its log has all commits that
// were acknowledged before.
func (c *change) chosenLeads(ctx context.Context) bool {
	id := c.chosen.target.ID
	if !c.unfenced {
		return c.e.cfg.Homes.Ping(ctx, c.spec.Name, id) == nil
	}
	p, err := c.e.cfg.Homes.Begins(ctx, c.spec.Name, id)
	if err != nil {
		return false
	}
	s, err := c.control(ctx, id, siskin.Statement{Kind: siskin.Status})
	if err != nil || !s.Primary {
		return false
	}
	c.newTerm = s.Term
	c.e.fence.note(c.spec.Name, c.fence, c.newTerm)
	c.e.cfg.Views.Proven(c.spec.Name, views.Lead{Target: id, Position: p, Term: c.newTerm, At: c.checked})
	if c.old == "" || c.old == id || slices.ContainsFunc(c.claims, func(cl claim) bool { return cl.primary && cl.demoted }) {
		c.retired.Store(true)
	} else {
		c.e.done.Go(c.retire)
	}
	return true
}

// hold makes the VMs refuse writes of the service at once during the change.
func (c *change) hold() {
	c.e.cfg.Views.Hold(c.spec.Name, c.e.cfg.Clock.Now().Add(holdFor))
	c.announce(holdFor)
}

// holdFor bounds the time in which requests are refused during a change, in
// case that its end is not announced.
const holdFor = 1500 * time.Millisecond

// announceTimeout bounds one announcement.
const announceTimeout = 300 * time.Millisecond

// announce tells all VMs of the proof of lead, or of a change in progress.
func (c *change) announce(hold time.Duration) {
	asked := c.e.cfg.Clock.Now()
	l := c.e.cfg.Views.Lead(c.spec.Name)
	args := &Announcement{Hold: crew.HoldNote{Service: c.spec.Name, For: hold}}
	if hold == 0 {
		args.Old, args.Fence = c.old, c.fence
		args.Lead = crew.LeadNote{Service: c.spec.Name, Target: l.Target, Position: l.Position, Term: l.Term, Age: asked.Sub(l.At)}
	}
	for _, vm := range c.e.cfg.Members.Live() {
		if vm.ID == c.e.cfg.Members.Self().ID {
			continue
		}
		c.e.done.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
			defer cancel()
			// A VM that misses it learns of the change with the next ping.
			_ = c.e.cfg.Peers.Call(ctx, vm.ID, "Elect.Announce", args, &struct{}{})
		})
	}
}

const (
	// retireFor bounds the attempts to make a former primary step down, and
	// retirePause is the time between two of them.
	retireFor   = 30 * time.Second
	retirePause = 500 * time.Millisecond
)

// retire makes the former primary step down, which may lead on until it meets the
// new one. Leases keep reads off it; this ends what it refuses to its callers.
func (c *change) retire() {
	for deadline := c.e.cfg.Clock.Now().Add(retireFor); c.e.cfg.Clock.Now().Before(deadline); {
		s, err := c.control(c.e.ctx, c.old, siskin.Statement{Kind: siskin.StepDown, Term: c.newTerm})
		if err == nil && (!s.Primary || s.Term >= c.newTerm) {
			c.e.cfg.Log.Info().Str("Service", string(c.spec.Name)).Str("Target", string(c.old)).
				Uint64("Term", uint64(s.Term)).Bool("Primary", s.Primary).Msg("the former primary has stepped down")
			c.retired.Store(true)
			return
		}
		select {
		case <-c.e.ctx.Done():
			return
		case <-c.e.cfg.Clock.After(retirePause):
		}
	}
}

const (
	// followPoll is the time between two looks at a replica that receives again,
	// and followLooks their number.
	followPoll  = 30 * time.Millisecond
	followLooks = 4
)

// awaitFollower pauses a replica again that does not follow the new primary while
// the former one may go on: its commits would be acknowledged by that replica.
func (c *change) awaitFollower(id siskin.TargetID) error {
	if !c.unfenced || !c.led || c.retired.Load() {
		return nil
	}
	for range followLooks {
		s, err := c.control(c.e.ctx, id, siskin.Statement{Kind: siskin.Status})
		if err == nil && (s.Term >= c.newTerm || c.retired.Load()) {
			return nil
		}
		c.e.cfg.Clock.Sleep(followPoll)
	}
	_, err := c.control(c.e.ctx, id, siskin.Statement{Kind: siskin.Pause, Term: c.term})
	return siskin.NewError(siskin.Unavailable, "target %s does not reach the new primary, and the former one may go on", id).WithCause(err)
}

const (
	// unpauseAttempts and unpausePause bound the attempts to let a replica
	// receive again that does not answer.
	unpauseAttempts = 30
	unpausePause    = time.Second
)

// unpause lets claimed replicas receive again. While an order may still be
// carried out they stay paused: a commit that they acknowledged meanwhile would
// be missing at the target that it promotes.
func (c *change) unpause() {
	if c.pending {
		c.e.cfg.Log.Warn().Str("Service", string(c.spec.Name)).Uint64("Term", uint64(c.term)).
			Msg("a promotion is pending; replicas stay paused until the next change")
		return
	}
	if c.overtook && !c.led {
		// With its replicas freed a former primary could go on while the other
		// change's target leads already.
		c.e.cfg.Log.Warn().Str("Service", string(c.spec.Name)).Uint64("Term", uint64(c.term)).
			Msg("another change had claimed targets; replicas stay paused until the next change")
		return
	}
	for _, cl := range c.claims {
		if cl.target.ID == c.chosen.target.ID && c.led || cl.err == nil && cl.status.HeldTerm != c.term {
			continue
		}
		c.e.done.Go(func() { c.unpauseOne(cl.target.ID) })
	}
}

// unpauseOne ends the pause of one replica unless another change has claimed it
// for a later term.
func (c *change) unpauseOne(id siskin.TargetID) {
	for range unpauseAttempts {
		status, err := c.control(c.e.ctx, id, siskin.Statement{Kind: siskin.Status})
		c.e.cfg.Log.Info().Err(err).Str("Service", string(c.spec.Name)).Str("Target", string(id)).Uint64("ClaimedTerm", uint64(c.term)).
			Uint64("HeldTerm", uint64(status.HeldTerm)).Uint64("Term", uint64(status.Term)).Msg("ending the claim of a target")
		if err == nil && status.HeldTerm != c.term {
			return
		}
		if err == nil {
			_, err = c.control(c.e.ctx, id, siskin.Statement{Kind: siskin.Unpause})
		}
		if err == nil {
			err = c.awaitFollower(id)
		}
		if err == nil {
			return
		}
		c.e.cfg.Log.Info().Err(err).Str("Target", string(id)).Msg("a replica may still be paused")
		select {
		case <-c.e.ctx.Done():
			return
		case <-c.e.cfg.Clock.After(unpausePause):
		}
	}
}
