package elect

import (
	"context"
	"sync"
	"time"

	"siskintray.example/siskin"
)

const (
	// controlTimeout bounds one control statement at a target. It takes a round
	// trip, and the opening of a connection.
	controlTimeout = 250 * time.Millisecond
	// pollInterval is the time between two looks at a target during a change.
	pollInterval = 30 * time.Millisecond
	// catchUpTimeout bounds the wait for a replica to receive the end of the
	// log of a primary that stepped down.
	catchUpTimeout = 700 * time.Millisecond
	// leadTimeout bounds the wait for a promoted target to lead.
	leadTimeout = 2500 * time.Millisecond
	// maxPromotions bounds the calls for one change.
	maxPromotions = 4
)

// change is one change of a primary.
type change struct {
	e       *Elector
	spec    siskin.ServiceSpec
	old     siskin.TargetID
	start   time.Time
	planned bool // the old primary is healthy and about to stop
	stalled bool // the old primary answers, but not to its replicas
	term    siskin.Term
	claims  []claim
	chosen  claim
	// pending says that an order may still be carried out, led that the chosen
	// target leads.
	pending, led bool
}

// run carries the change out. Replicas that were claimed receive again at its
// end, whatever the result.
func (c *change) run(ctx context.Context) error {
	if err := c.inspect(ctx); err != nil {
		return err
	}
	c.hold()
	defer c.unpause()
	var err error
	if c.planned {
		err = c.stepDownFirst(ctx)
	} else {
		err = c.claimAll(ctx)
	}
	if err != nil {
		return err
	}
	return c.promote(ctx)
}

// inspect asks all targets for their state and chooses the new term.
func (c *change) inspect(ctx context.Context) error {
	targets := c.e.cfg.Roster.Service(c.spec.Name)
	c.claims = make([]claim, len(targets))
	c.each(ctx, targets, func(ctx context.Context, t siskin.TargetInfo) (siskin.ControlStatus, error) {
		return c.control(ctx, t.ID, siskin.Statement{Kind: siskin.Status})
	})
	answered := 0
	for i := range c.claims {
		cl := &c.claims[i]
		if cl.err != nil {
			continue
		}
		answered++
		c.term = max(c.term, cl.status.Term, cl.status.HeldTerm, cl.status.Received.Term)
		if cl.status.Primary && cl.target.ID != c.old && c.e.cfg.Homes.Ping(ctx, c.spec.Name, cl.target.ID) == nil {
			return siskin.NewError(siskin.Conflict, "target %s leads already", cl.target.ID)
		}
	}
	c.term++
	// A primary that answers here is given up only if its replicas can take over:
	// this VM may share its cut, and other VMs see to the rest.
	if (c.planned || c.stalled) && !replicasAnswer(c.claims, c.spec.SyncReplicas) {
		return siskin.NewError(siskin.Unavailable, "the replicas of %s do not answer", c.spec.Name).WithRemedy("restore the network")
	}
	// A replica that is paused in vain acknowledges nothing for a primary that
	// other VMs may still reach, so nothing is claimed without a prospect.
	if !enough(c.claims, 0, c.spec.SyncReplicas) {
		return siskin.NewError(siskin.Unavailable, "only %d of %d targets of %s answer", answered, len(targets), c.spec.Name).WithRemedy("restore the targets or the network")
	}
	return nil
}

// each fills the claims with the results of f, run for all targets at once.
func (c *change) each(ctx context.Context, targets []siskin.TargetInfo, f func(context.Context, siskin.TargetInfo) (siskin.ControlStatus, error)) {
	var wg sync.WaitGroup
	for i, t := range targets {
		wg.Go(func() {
			cl := claim{target: t, primary: t.ID == c.old}
			cl.status, cl.err = f(ctx, t)
			c.claims[i] = cl
		})
	}
	wg.Wait()
}

func (c *change) control(ctx context.Context, id siskin.TargetID, s siskin.Statement) (siskin.ControlStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	answers, err := c.e.cfg.Homes.Control(ctx, id, s)
	if err != nil {
		return siskin.ControlStatus{}, err
	}
	return c.e.cfg.Status(&answers[0])
}

// claimAll claims every target that answers.
func (c *change) claimAll(ctx context.Context) error {
	targets := c.e.cfg.Roster.Service(c.spec.Name)
	led := make(map[siskin.TargetID]siskin.Term) // targets that led a moment ago
	for _, cl := range c.claims {
		if cl.err == nil && cl.status.Primary {
			led[cl.target.ID] = cl.status.Term
		}
	}
	c.claims = make([]claim, len(targets))
	c.each(ctx, targets, func(ctx context.Context, t siskin.TargetInfo) (siskin.ControlStatus, error) {
		kind := siskin.Pause
		if _, ok := led[t.ID]; ok {
			kind = siskin.StepDown
		}
		return c.control(ctx, t.ID, siskin.Statement{Kind: kind, Term: c.term})
	})
	for i := range c.claims {
		cl := &c.claims[i]
		// A replica accepts to step down as well, and proves nothing by it.
		if term, ok := led[cl.target.ID]; ok && cl.err == nil {
			cl.steppedDown, cl.end, cl.led = true, cl.status.Received, term
		}
		c.logClaim(cl, "claimed a target")
	}
	if !enough(c.claims, c.term, c.spec.SyncReplicas) {
		return siskin.NewError(siskin.Unavailable, "too few targets of %s could be claimed for term %d", c.spec.Name, c.term).WithRemedy("restore a target; without it an acknowledged commit could be lost")
	}
	var ok bool
	if c.chosen, ok = newest(c.claims, c.term, c.spec.SyncReplicas); !ok {
		return siskin.NewError(siskin.Unavailable, "no target of %s could be claimed", c.spec.Name)
	}
	return nil
}

// stepDownFirst claims the primary alone and waits for a replica to receive
// the end of its log. The replicas go on receiving.
func (c *change) stepDownFirst(ctx context.Context) error {
	status, err := c.control(ctx, c.old, siskin.Statement{Kind: siskin.StepDown, Term: c.term})
	if err != nil {
		return err
	}
	end := status.Received
	deadline := c.e.cfg.Clock.Now().Add(catchUpTimeout)
	for {
		if best, ok := c.received(ctx, end); ok {
			c.chosen = best
			return nil
		}
		if c.e.cfg.Clock.Now().After(deadline) || ctx.Err() != nil {
			// The old primary has everything, so it leads again if no replica does.
			c.chosen = claim{target: siskin.TargetInfo{ID: c.old, Service: c.spec.Name}, status: status, primary: true}
			return nil
		}
		c.e.cfg.Clock.Sleep(pollInterval)
	}
}

// received returns a replica that stays and has received the log up to end.
func (c *change) received(ctx context.Context, end siskin.Position) (claim, bool) {
	targets := c.e.cfg.Roster.Service(c.spec.Name)
	c.claims = make([]claim, len(targets))
	c.each(ctx, targets, func(ctx context.Context, t siskin.TargetInfo) (siskin.ControlStatus, error) {
		return c.control(ctx, t.ID, siskin.Statement{Kind: siskin.Status})
	})
	var best claim
	for _, cl := range c.claims {
		if cl.err != nil || cl.primary || cl.target.Draining || cl.status.Received.Compare(end) < 0 {
			continue
		}
		if best.target.ID == "" || cl.status.Lag < best.status.Lag {
			best = cl
		}
	}
	return best, best.target.ID != ""
}

// stillClaimed asks the claimed targets again. One that has started again has
// forgotten its claim and its log.
func (c *change) stillClaimed(ctx context.Context) error {
	if c.planned {
		return nil // the claim of the old primary is checked by the new lead
	}
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

func (c *change) logClaim(cl *claim, msg string) {
	entry := c.e.cfg.Log.Info().Str("Service", string(c.spec.Name)).Str("Target", string(cl.target.ID)).Uint64("NewTerm", uint64(c.term))
	if cl.err != nil {
		entry = entry.Err(cl.err)
	} else {
		entry = entry.Bool("Primary", cl.status.Primary).Uint64("Term", uint64(cl.status.Term)).
			Uint64("HeldTerm", uint64(cl.status.HeldTerm)).Uint64("ReceivedTerm", uint64(cl.status.Received.Term)).
			Uint64("Received", uint64(cl.status.Received.LSN)).Dur("Lag", cl.status.Lag)
	}
	entry.Msg(msg)
}
