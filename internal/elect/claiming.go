package elect

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

// claimAll claims every target that answers.
func (c *change) claimAll(ctx context.Context) error {
	targets := c.e.cfg.Roster.Service(c.spec.Name)
	led := make(map[siskin.TargetID]bool) // targets that were primary in inspect
	for _, cl := range c.claims {
		led[cl.target.ID] = cl.err == nil && cl.status.Primary
	}
	c.claims = make([]claim, len(targets))
	c.askAll(ctx, targets, func(ctx context.Context, cl *claim) {
		c.claimOne(ctx, cl, led[cl.target.ID])
	})
	c.addUnlisted()
	markEmptyLogs(c.claims, c.e.cfg.Views.LatestProof(c.spec.Name).Position)
	for i := range c.claims {
		c.contested = c.contested || c.claims[i].contested
		c.logClaim(&c.claims[i], "claimed a target")
	}
	if !hasQuorum(c.claims, c.term, c.spec.SyncReplicas) {
		return siskin.NewError(siskin.Unavailable, "too few targets of %s could be claimed for term %d", c.spec.Name, c.term).WithRemedy("restore a target; without it an acknowledged commit could be lost")
	}
	var ok bool
	if c.candidate, ok = bestCandidate(c.claims, c.term, c.spec.SyncReplicas); !ok {
		return siskin.NewError(siskin.Unavailable, "no target of %s could be claimed", c.spec.Name)
	}
	return nil
}

// claimOne claims one target. A primary is made to step down and is paused as
// well, so that other changes see the claim. Unfenced, it may not know of the
// current primary, so its log alone is not sufficient and it counts as a
// replica. The state before the claim shows claims of another change, which may
// have chosen the same term.
func (c *change) claimOne(ctx context.Context, cl *claim, answeredAsPrimary bool) {
	list := []siskin.Statement{{Kind: siskin.Status}}
	if answeredAsPrimary {
		list = append(list, siskin.Statement{Kind: siskin.StepDown, Term: c.term})
	}
	list = append(list, siskin.Statement{Kind: siskin.Pause, Term: c.term})
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	answers, err := c.e.cfg.Homes.Control(ctx, cl.target.ID, list...)
	if err != nil {
		cl.err = err
		return
	}
	before, err := c.e.cfg.Status(&answers[0])
	if err != nil {
		cl.err = err
		return
	}
	cl.status, cl.err = c.e.cfg.Status(&answers[len(answers)-1])
	cl.recordResult(before, c.term, c.primaryTerm, c.ownTerm, answeredAsPrimary, c.unfenced)
}

// oldPrimaryGrace is the time to wait for the old primary once all other
// targets have answered. Otherwise an unresponsive one would take
// controlTimeout.
const oldPrimaryGrace = 60 * time.Millisecond

// askAll runs f for all targets concurrently and stores the results in the
// claims. An old primary that does not answer within oldPrimaryGrace after all
// others counts as silent.
func (c *change) askAll(ctx context.Context, targets []siskin.TargetInfo, f func(context.Context, *claim)) {
	type result struct {
		i  int
		cl claim
	}
	results := make(chan result, len(targets))
	for i, t := range targets {
		initial := claim{target: t, wasPrimary: t.ID == c.oldPrimary}
		initial.covered = !initial.wasPrimary && t.Draining && c.e.cfg.Roster.IsCovered(t.ID)
		c.claims[i] = initial
		c.claims[i].err = errNoAnswer
		c.e.tasks.Go(func() {
			cl := initial
			f(ctx, &cl)
			cl.answeredAt = c.e.cfg.Clock.Now()
			results <- result{i, cl}
		})
	}
	var grace <-chan time.Time
	others := 0
	for _, t := range targets {
		if t.ID != c.oldPrimary {
			others++
		}
	}
	for range targets {
		select {
		case r := <-results:
			c.claims[r.i] = r.cl
			if !r.cl.wasPrimary {
				others--
			}
		case <-grace:
			return
		}
		if grace == nil && others == 0 {
			grace = c.e.cfg.Clock.After(oldPrimaryGrace)
		}
	}
}

// errNoAnswer is the error of an old primary that exceeds oldPrimaryGrace.
var errNoAnswer = siskin.NewError(siskin.Unavailable, "no answer within the grace period after all other targets answered")

func (c *change) logClaim(cl *claim, msg string) {
	entry := c.e.cfg.Log.Info().Str("Service", string(c.spec.Name)).Str("Target", string(cl.target.ID)).Uint64("NewTerm", uint64(c.term))
	if cl.err != nil {
		entry = entry.Err(cl.err)
	} else {
		entry = entry.Bool("Primary", cl.status.Primary).Uint64("Term", uint64(cl.status.Term)).
			Uint64("HeldTerm", uint64(cl.status.PauseTerm)).Uint64("ReceivedTerm", uint64(cl.status.Received.Term)).
			Uint64("Received", uint64(cl.status.Received.LSN)).Dur("Lag", cl.status.Lag)
	}
	entry.Msg(msg)
}
