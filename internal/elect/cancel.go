package elect

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// cancelAttempts is the number of attempts to cancel pending promotions,
	// and cancelInterval the time between two attempts.
	cancelAttempts = 60
	cancelInterval = 500 * time.Millisecond
	// maxProofAge is the age up to which another VM's proof counts for a
	// primary that this VM does not reach. A change that has demoted the
	// primary since then takes longer until its target is primary.
	maxProofAge = 400 * time.Millisecond
)

// cancelPending prevents promotions without an answer from taking effect while
// the old primary is still primary. Its replicas are paused until then, and a
// replica that restarts would acknowledge commits that the target to be
// promoted lacks. A promotion of the current primary changes nothing, but its
// fencing token makes the platform refuse lower ones. One that was accepted
// before takes effect within contestedDelay.
func (c *change) cancelPending() {
	for range cancelAttempts {
		select {
		case <-c.e.ctx.Done():
			return
		case <-c.e.cfg.Clock.After(cancelInterval):
		}
		leads, gone := c.oldPrimaryState()
		if gone {
			return // the next change releases the claims
		}
		if !leads || !c.claimsKept() || c.e.cfg.Views.ChangeInProgress(c.spec.Name, c.e.cfg.Clock.Now()) {
			continue
		}
		// The claims are checked again after the token is issued: if this VM was
		// suspended in between, the token exceeds that of a change which has
		// taken the claims over.
		token, err := c.e.tokens.take(c.e.ctx, true)
		if err != nil {
			continue
		}
		checkedAt := c.e.cfg.Clock.Now()
		if leads, _ := c.oldPrimaryState(); !leads || !c.claimsKept() || c.e.cfg.Clock.Since(checkedAt) > maxFencedCheckAge {
			c.e.tokens.putBack(token)
			continue
		}
		err = c.e.cfg.Promoter.Promote(c.e.ctx, c.spec.Name, c.oldPrimary, c.e.cfg.Members.Self().ID, token)
		c.e.cfg.Log.Info().Err(err).Str("Service", string(c.spec.Name)).Str("Target", string(c.oldPrimary)).Uint64("Fence", uint64(token)).
			Msg("promoted the current primary again so that the platform refuses a pending promotion")
		if err != nil {
			continue
		}
		select {
		case <-c.e.ctx.Done():
			return
		case <-c.e.cfg.Clock.After(contestedDelay):
		}
		if leads, _ := c.oldPrimaryState(); leads {
			c.unpauseAll()
		}
		return
	}
}

// claimsKept reports whether any claimed replica still answers with the claim
// of this change, and none was claimed by another change. A change of another
// VM then needs the old primary itself, which would step down.
func (c *change) claimsKept() bool {
	held := 0
	for i := range c.claims {
		cl := &c.claims[i]
		if cl.err != nil || cl.status.PauseTerm != c.term {
			continue
		}
		s, err := c.control(c.e.ctx, cl.target.ID, siskin.Statement{Kind: siskin.Status})
		switch {
		case err != nil:
		case s.PauseTerm != c.term:
			return false
		default:
			held++
		}
	}
	return held > 0
}

// oldPrimaryState reports whether the old primary is still primary according to
// a recent proof from this VM or another one, and whether it is known not to
// be.
func (c *change) oldPrimaryState() (leads, gone bool) {
	err := c.e.cfg.Homes.Ping(c.e.ctx, c.spec.Name, c.oldPrimary)
	switch {
	case err == nil:
		return true, false
	case siskin.KindOf(err) == siskin.Conflict:
		return false, true
	}
	l := c.e.cfg.Views.LatestProof(c.spec.Name)
	if l.Target != c.oldPrimary {
		return false, l.Target != ""
	}
	return c.e.cfg.Clock.Since(l.At) < maxProofAge, false
}
