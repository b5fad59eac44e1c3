package group

import (
	"context"
	"errors"
	"time"

	"siskintray.example/siskin"
)

// execute runs an action in the pool and posts its result.
func (g *Group) execute(a action) {
	if a.kind == actDone {
		g.finishRequest(a)
		return
	}
	var p *peer
	for _, candidate := range g.peers {
		if candidate.member.ID == a.target {
			p = candidate
		}
	}
	if p == nil || (a.kind == actProbe && !p.beginProbe()) {
		return
	}
	// A closed pool rejects the action, whose result is no longer needed.
	_ = g.pool.Go(func() { p.run(a) })
}

func (p *peer) run(a action) {
	switch a.kind {
	case actProbe:
		p.probeNow()
	case actClaim:
		p.claim(a)
	case actPromote:
		p.promote(a)
	case actFollow:
		_ = p.immediateConn.call(p.g.settings.callTimeout(), func(ctx context.Context, t siskin.Target) error {
			return t.Follow(ctx, a.primary, a.address, a.term)
		}) // repeated until the target's status shows that it follows
	case actDrain:
		p.drain(a)
	case actCatchUp:
		p.awaitCatchUp(a)
	}
}

// postResult posts the result of an action.
func (p *peer) postResult(kind eventKind, a action, askedAt time.Time, st siskin.TargetStatus, err error) {
	p.g.post(event{
		kind: kind, target: p.member.ID, attempt: a.attempt, status: st, askedAt: askedAt, ok: err == nil,
		// The answer to a refused claim contains a status with the higher
		// claim.
		hasStatus: err == nil || st.ClaimedTerm > 0,
		conflict:  siskin.KindOf(err) == siskin.Conflict && err != nil,
	})
}

// claim claims the target over a new connection, which a later promotion uses.
// An older connection may have stopped responding without an error.
func (p *peer) claim(a action) {
	asked := p.g.clock.Now()
	if a.unresponsive != "" && p.g.respondsOnNewConn(a.unresponsive) {
		p.postResult(evClaimed, a, asked, siskin.TargetStatus{}, errPrimaryResponds(p.g.settings.Service))
		return
	}
	ctx, cancel := context.WithTimeout(p.g.ctx, p.g.settings.callTimeout())
	defer cancel()
	t, err := p.g.dialer.DialTarget(ctx, p.member.ID, p.member.Address)
	var st siskin.TargetStatus
	if err == nil {
		p.setClaim(t)
		st, err = t.Claim(ctx, a.term, p.g.settings.Self)
	}
	p.postResult(evClaimed, a, asked, st, err)
}

// respondsOnNewConn probes an unresponsive primary over a new connection and
// posts its status. The open connections may all be unresponsive while new ones
// work, and on a busy VM the regular probe that would show this may be late.
func (g *Group) respondsOnNewConn(id siskin.TargetID) bool {
	for _, p := range g.peers {
		if p.member.ID != id {
			continue
		}
		asked := g.clock.Now()
		l := &controlConn{g: g, member: p.member}
		defer l.close()
		var st siskin.TargetStatus
		err := l.call(g.settings.Interval, func(ctx context.Context, t siskin.Target) (err error) {
			st, err = t.Status(ctx)
			return err
		})
		if err == nil {
			p.report(evStatus, asked, st, nil)
			return true
		}
	}
	return false
}

func (p *peer) promote(a action) {
	asked := p.g.clock.Now()
	ctx, cancel := context.WithTimeout(p.g.ctx, p.g.settings.callTimeout())
	defer cancel()
	p.claimMu.Lock()
	t := p.claimTarget
	p.claimMu.Unlock()
	if t == nil {
		return // closed
	}
	st, err := t.Promote(ctx, a.term)
	if err != nil {
		st = siskin.TargetStatus{}
	}
	p.postResult(evPromoted, a, asked, st, err)
}

// drain blocks new writes at the primary. A target that does not implement
// siskin.Drainer is only asked for its status; its running transactions are not
// waited for.
func (p *peer) drain(a action) {
	asked := p.g.clock.Now()
	var st siskin.TargetStatus
	err := p.immediateConn.call(p.g.settings.callTimeout(), func(ctx context.Context, t siskin.Target) (err error) {
		if d, ok := t.(siskin.Drainer); ok {
			st, err = d.Drain(ctx, a.hold)
			return err
		}
		st, err = t.Status(ctx)
		return err
	})
	p.postResult(evDrained, a, asked, st, err)
}

// awaitCatchUp uses a connection of its own, since the wait may be long.
func (p *peer) awaitCatchUp(a action) {
	asked := p.g.clock.Now()
	limit := p.g.machine.drainLimit()
	l := &controlConn{g: p.g, member: p.member}
	defer l.close()
	var st siskin.TargetStatus
	err := l.call(limit, func(ctx context.Context, t siskin.Target) (err error) {
		st, err = t.Wait(ctx, a.pos, limit)
		return err
	})
	p.postResult(evCaughtUp, a, asked, st, err)
}

// Promote makes target the primary. A planned change drains the current primary
// first and fails without effect if that takes too long. A forced change claims
// immediately and accepts the loss of acknowledged writes if fewer targets
// answer than a safe change needs.
func (g *Group) Promote(ctx context.Context, target siskin.TargetID, force bool) error {
	known := false
	for _, m := range g.settings.Members {
		known = known || m.ID == target
	}
	if !known {
		return errUnknownTarget(g.settings.Service, target)
	}
	result := make(chan error, 1)
	g.requestsMu.Lock()
	g.lastRequest++
	id := g.lastRequest
	g.requestResults[id] = result
	g.requestsMu.Unlock()
	defer func() {
		g.requestsMu.Lock()
		defer g.requestsMu.Unlock()
		delete(g.requestResults, id)
	}()
	g.post(event{kind: evChange, request: id, preferred: target, force: force})
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return errors.Join(errChangeInProgress(g.settings.Service), ctx.Err())
	case <-g.ctx.Done():
		return errClosed()
	}
}

// finishRequest logs the error of an attempt and passes its result to the
// operator's request, if there is one.
func (g *Group) finishRequest(a action) {
	if a.err != nil {
		g.log.Warn().Str("Service", string(g.settings.Service)).Err(a.err).Msg("change of primary failed")
	}
	g.requestsMu.Lock()
	defer g.requestsMu.Unlock()
	if result, ok := g.requestResults[a.request]; ok {
		result <- a.err
		delete(g.requestResults, a.request)
	}
}
