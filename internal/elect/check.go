package elect

import (
	"context"
	"sync"

	"siskintray.example/siskin"
)

// stillClaimed asks the claimed targets again. One that has started again has
// forgotten its claim and its log.
func (c *change) stillClaimed(ctx context.Context) error {
	c.checked = c.e.cfg.Clock.Now()
	if c.planned {
		if c.unfenced {
			return c.unclaimed(ctx)
		}
		return nil // the claim of the old primary is checked by the new lead
	}
	if id, ok := c.newcomer(); ok {
		return siskin.NewError(siskin.Conflict, "target %s joined after the claims of term %d", id, c.term).WithRemedy("claim again")
	}
	c.addUnlisted() // discovery may have dropped targets since
	var wg sync.WaitGroup
	again := make([]claim, len(c.claims))
	for i := range c.claims {
		again[i] = c.claims[i]
		if !again[i].holds(c.term) {
			continue
		}
		wg.Go(func() {
			again[i].status, again[i].err = c.control(ctx, again[i].target.ID, siskin.Statement{Kind: siskin.Status})
		})
	}
	wg.Wait()
	for _, cl := range again {
		if cl.target.ID == c.chosen.target.ID && !cl.holds(c.term) {
			return siskin.NewError(siskin.Conflict, "target %s lost its claim", cl.target.ID)
		}
	}
	if !enough(again, c.term, c.spec.SyncReplicas) {
		return siskin.NewError(siskin.Conflict, "too few claims of term %d are left", c.term).WithRemedy("claim again")
	}
	return nil
}

// unclaimed reports an error when another change has claimed the replica that is
// to be promoted, or another target was promoted.
func (c *change) unclaimed(ctx context.Context) error {
	s, err := c.control(ctx, c.chosen.target.ID, siskin.Statement{Kind: siskin.Status})
	if err != nil {
		return err
	}
	if s.HeldTerm > s.Term || s.Term > c.leadTerm {
		return siskin.NewError(siskin.Conflict, "another change has claimed target %s", c.chosen.target.ID).WithRemedy("wait for its result")
	}
	return nil
}
