package elect

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// stepDownTimeout bounds the attempts to make a former primary step down, and
	// retirePause is the time between two of them.
	stepDownTimeout  = 30 * time.Second
	stepDownInterval = 500 * time.Millisecond
)

// stepDownOld makes the former primary step down, which may lead on until it meets the
// new one. Leases keep reads off it; this ends what it refuses to its callers.
func (c *change) stepDownOld() {
	for deadline := c.e.cfg.Clock.Now().Add(stepDownTimeout); c.e.cfg.Clock.Now().Before(deadline); {
		s, err := c.control(c.e.ctx, c.oldPrimary, siskin.Statement{Kind: siskin.StepDown, Term: c.promotedTerm})
		if err == nil && (!s.Primary || s.Term >= c.promotedTerm) {
			c.e.cfg.Log.Info().Str("Service", string(c.spec.Name)).Str("Target", string(c.oldPrimary)).
				Uint64("Term", uint64(s.Term)).Bool("Primary", s.Primary).Msg("the former primary has stepped down")
			c.oldSteppedDown.Store(true)
			return
		}
		select {
		case <-c.e.ctx.Done():
			return
		case <-c.e.cfg.Clock.After(stepDownInterval):
		}
	}
}

const (
	// followPollInterval is the time between two looks at a replica that receives again,
	// and followLooks their number.
	followPollInterval = 30 * time.Millisecond
	followPolls        = 4
)

// awaitFollower pauses a replica again that does not follow the new primary while
// the former one may go on: its commits would be acknowledged by that replica.
func (c *change) awaitFollower(id siskin.TargetID) error {
	if !c.unfenced || !c.promoted || c.oldSteppedDown.Load() {
		return nil
	}
	for range followPolls {
		s, err := c.control(c.e.ctx, id, siskin.Statement{Kind: siskin.Status})
		if err == nil && (s.Term >= c.promotedTerm || c.oldSteppedDown.Load()) {
			return nil
		}
		c.e.cfg.Clock.Sleep(followPollInterval)
	}
	_, err := c.control(c.e.ctx, id, siskin.Statement{Kind: siskin.Pause, Term: c.term})
	return siskin.NewError(siskin.Unavailable, "target %s does not reach the new primary, and the former one may go on", id).WithCause(err)
}

const (
	// unpauseAttempts and unpausePause bound the attempts to let a replica
	// receive again that does not answer.
	unpauseAttempts = 30
	unpauseInterval = time.Second
)

// unpause lets claimed replicas receive again. While an order may still be
// carried out they stay paused: a commit that they acknowledged meanwhile would
// be missing at the target that it promotes.
func (c *change) unpause() {
	if c.pending {
		c.e.cfg.Log.Warn().Str("Service", string(c.spec.Name)).Uint64("Term", uint64(c.term)).
			Msg("a promotion is pending; replicas stay paused until it is cancelled or the next change")
		if !c.unfenced && c.oldPrimary != "" {
			c.e.tasks.Go(c.cancelPending)
		}
		return
	}
	if c.contested && !c.promoted {
		// With its replicas freed a former primary could go on while the other
		// change's target leads already.
		c.e.cfg.Log.Warn().Str("Service", string(c.spec.Name)).Uint64("Term", uint64(c.term)).
			Msg("another change had claimed targets; replicas stay paused until the next change")
		return
	}
	c.unpauseAll()
}

// unpauseAll ends the claims of the replicas.
func (c *change) unpauseAll() {
	for _, cl := range c.claims {
		if cl.target.ID == "" || cl.target.ID == c.candidate.target.ID && c.promoted || cl.err == nil && cl.status.PauseTerm != c.term {
			continue
		}
		c.e.tasks.Go(func() { c.unpauseOne(cl.target.ID) })
	}
}

// unpauseOne ends the pause of one replica.
func (c *change) unpauseOne(id siskin.TargetID) {
	for range unpauseAttempts {
		err := c.tryUnpause(id)
		if err == nil {
			return
		}
		c.e.cfg.Log.Info().Err(err).Str("Target", string(id)).Msg("a replica may still be paused")
		select {
		case <-c.e.ctx.Done():
			return
		case <-c.e.cfg.Clock.After(unpauseInterval):
		}
	}
}

// tryUnpause ends the pause of a replica unless another change has claimed it for
// a later term. With an error the replica is, or may be, still paused.
func (c *change) tryUnpause(id siskin.TargetID) error {
	status, err := c.control(c.e.ctx, id, siskin.Statement{Kind: siskin.Status})
	c.e.cfg.Log.Info().Err(err).Str("Service", string(c.spec.Name)).Str("Target", string(id)).Uint64("ClaimedTerm", uint64(c.term)).
		Uint64("HeldTerm", uint64(status.PauseTerm)).Uint64("Term", uint64(status.Term)).Msg("ending the claim of a target")
	if err != nil {
		return err
	}
	if status.Primary || status.PauseTerm > status.Term && status.PauseTerm != c.term {
		return nil // retire sees to it, or another change has claimed it
	}
	if status.PauseTerm != c.term {
		return c.awaitFollower(id) // it has started again without the claim
	}
	if _, err := c.control(c.e.ctx, id, siskin.Statement{Kind: siskin.Unpause}); err != nil {
		return err
	}
	return c.awaitFollower(id)
}
