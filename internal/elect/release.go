package elect

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// stepDownTimeout bounds the attempts to make a former primary step down,
	// and stepDownInterval is the time between two attempts.
	stepDownTimeout  = 30 * time.Second
	stepDownInterval = 500 * time.Millisecond
)

// stepDownOld makes the former primary step down, which may otherwise act as
// primary until it contacts the new one. Leases keep reads away from it;
// stepping down ends the refusals that its callers see.
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
	// followPollInterval is the time between two polls of a resumed replica,
	// and followPolls their number.
	followPollInterval = 30 * time.Millisecond
	followPolls        = 4
)

// awaitFollower waits for a replica to follow the new primary. It pauses the
// replica again if it does not and the former primary may still be running,
// whose commits the replica would acknowledge.
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
	return siskin.NewError(siskin.Unavailable, "target %s does not follow the new primary, and the former one may still be running", id).WithCause(err)
}

const (
	// unpauseAttempts is the number of attempts to resume a replica that does
	// not answer, and unpauseInterval the time between two attempts.
	unpauseAttempts = 30
	unpauseInterval = time.Second
)

// unpause resumes the claimed replicas. They stay paused while a promotion may
// still take effect: a commit that they acknowledge in the meantime would be
// missing on the promoted target.
func (c *change) unpause() {
	if c.pending {
		c.e.cfg.Log.Warn().Str("Service", string(c.spec.Name)).Uint64("Term", uint64(c.term)).
			Msg("a promotion may still take effect; replicas stay paused until it is cancelled or the next change")
		if !c.unfenced && c.oldPrimary != "" {
			c.e.tasks.Go(c.cancelPending)
		}
		return
	}
	if c.contested && !c.promoted {
		// With its replicas resumed, a former primary could continue to
		// acknowledge commits after the other change has promoted its target.
		c.e.cfg.Log.Warn().Str("Service", string(c.spec.Name)).Uint64("Term", uint64(c.term)).
			Msg("another change had claimed targets; replicas stay paused until the next change")
		return
	}
	c.unpauseAll()
}

// unpauseAll releases the claims on the replicas.
func (c *change) unpauseAll() {
	for _, cl := range c.claims {
		if cl.target.ID == "" || cl.target.ID == c.candidate.target.ID && c.promoted || cl.err == nil && cl.status.PauseTerm != c.term {
			continue
		}
		c.e.tasks.Go(func() { c.unpauseOne(cl.target.ID) })
	}
}

// unpauseOne resumes one replica.
func (c *change) unpauseOne(id siskin.TargetID) {
	for range unpauseAttempts {
		err := c.tryUnpause(id)
		if err == nil {
			return
		}
		c.e.cfg.Log.Info().Err(err).Str("Target", string(id)).Msg("could not resume a replica; it may still be paused")
		select {
		case <-c.e.ctx.Done():
			return
		case <-c.e.cfg.Clock.After(unpauseInterval):
		}
	}
}

// tryUnpause resumes a replica unless another change has claimed it for a later
// term. If it returns an error, the replica may still be paused.
func (c *change) tryUnpause(id siskin.TargetID) error {
	status, err := c.control(c.e.ctx, id, siskin.Statement{Kind: siskin.Status})
	c.e.cfg.Log.Info().Err(err).Str("Service", string(c.spec.Name)).Str("Target", string(id)).Uint64("ClaimedTerm", uint64(c.term)).
		Uint64("HeldTerm", uint64(status.PauseTerm)).Uint64("Term", uint64(status.Term)).Msg("releasing the claim on a target")
	if err != nil {
		return err
	}
	if status.Primary || status.PauseTerm > status.Term && status.PauseTerm != c.term {
		return nil // stepDownOld handles it, or another change has claimed it
	}
	if status.PauseTerm != c.term {
		return c.awaitFollower(id) // it has restarted and lost the claim
	}
	if _, err := c.control(c.e.ctx, id, siskin.Statement{Kind: siskin.Unpause}); err != nil {
		return err
	}
	return c.awaitFollower(id)
}
