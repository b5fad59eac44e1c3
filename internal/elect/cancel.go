package elect

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// cancelAttempts and cancelPause bound the attempts to cancel orders.
	cancelAttempts = 60
	cancelInterval = 500 * time.Millisecond
	// maxProofAge is the age of another VM's proof of lead up to which the primary
	// counts as leading for a VM that does not reach it. A change that took the lead
	// from it since needs longer until its target leads.
	maxProofAge = 400 * time.Millisecond
)

// cancelPending keeps orders without an answer from taking effect while the old primary
// leads on: its replicas are paused until then, and one that starts anew would
// acknowledge commits that the ordered target lacks. An order for the present
// primary changes nothing, and its fence makes the platform refuse lower ones. One
// that was accepted before takes effect within takeOverWait.
func (c *change) cancelPending() {
	for range cancelAttempts {
		select {
		case <-c.e.ctx.Done():
			return
		case <-c.e.cfg.Clock.After(cancelInterval):
		}
		leads, gone := c.oldPrimaryState()
		if gone {
			return // the next change sees to it
		}
		if !leads || !c.claimsKept() || c.e.cfg.Views.ChangeInProgress(c.spec.Name, c.e.cfg.Clock.Now()) {
			continue
		}
		token, err := c.e.tokens.take(c.e.ctx, true)
		if err != nil {
			continue
		}
		err = c.e.cfg.Promoter.Promote(c.e.ctx, c.spec.Name, c.oldPrimary, c.e.cfg.Members.Self().ID, token)
		c.e.cfg.Log.Info().Err(err).Str("Service", string(c.spec.Name)).Str("Target", string(c.oldPrimary)).Uint64("Fence", uint64(token)).
			Msg("ordered the present primary, so that a pending promotion is refused")
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

// claimsKept reports whether replicas that this change has claimed answer, and none of
// them was claimed by another one. A change of another VM then needs the old primary
// itself, which would lead no more.
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

// oldPrimaryState reports whether the old primary leads, as far as this VM or another one
// has just seen, and whether it is known not to.
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
