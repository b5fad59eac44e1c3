package elect

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/crew"
)

// promote orders the promotion of the chosen target and waits until it leads.
func (c *change) promote(ctx context.Context) error {
	var err error
	for range maxPromotions {
		if err = c.stillClaimed(ctx); err != nil {
			return err
		}
		var fence siskin.Fence
		if fence, err = c.e.fence.take(ctx); err != nil {
			return err
		}
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
	if c.e.cfg.Homes.Ping(ctx, c.spec.Name, c.chosen.target.ID) != nil {
		return false
	}
	c.pending, c.led = false, true
	c.e.cfg.Views.Hold(c.spec.Name, time.Time{})
	c.announce(0)
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
		args.Old = c.old
		args.Lead = crew.LeadNote{Service: c.spec.Name, Target: l.Target, Position: l.Position, Age: asked.Sub(l.At)}
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
	// unpauseAttempts and unpausePause bound the attempts to let a replica
	// receive again that does not answer.
	unpauseAttempts = 10
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
		if err == nil && status.HeldTerm != c.term {
			return
		}
		if err == nil {
			_, err = c.control(c.e.ctx, id, siskin.Statement{Kind: siskin.Unpause})
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
