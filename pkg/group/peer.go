package group

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
)

// peer holds the connections to one target. Each purpose has its own, so that a
// long poll does not delay other calls.
type peer struct {
	g             *Group
	index         int
	member        Member
	probeConn     *controlConn // probes
	confirmConn   *controlConn // waits for confirmations
	floorConn     *controlConn // floor samples
	immediateConn *controlConn // immediate probes, drains and follow orders

	probeState         atomic.Int32 // one of the probe states
	confirmStatusNanos atomic.Int64 // time of the last status that came with a confirmation, in Unix ns

	claimMu     sync.Mutex
	claimTarget siskin.Target // connection of the last claim
}

func newPeer(g *Group, i int, m Member) *peer {
	l := func() *controlConn { return &controlConn{g: g, member: m} }
	return &peer{g: g, index: i, member: m, probeConn: l(), confirmConn: l(), floorConn: l(), immediateConn: l()}
}

func (p *peer) close() {
	for _, l := range []*controlConn{p.probeConn, p.confirmConn, p.floorConn, p.immediateConn} {
		l.close()
	}
	p.setClaim(nil)
}

// setClaim replaces the connection of the last claim.
func (p *peer) setClaim(t siskin.Target) {
	p.claimMu.Lock()
	defer p.claimMu.Unlock()
	if p.claimTarget != nil {
		_ = p.claimTarget.Close() // the connection is discarded
	}
	p.claimTarget = t
}

// probeLoop probes the target once per interval. The probe of a replica is a
// long poll, which returns early when the replica joins a later term, so that a
// new primary is detected immediately.
func (p *peer) probeLoop() {
	for p.g.ctx.Err() == nil {
		interval := p.g.settings.Interval
		if wait, activated := p.probeDelay(); wait > 0 {
			p.sleepOrSignal(wait, activated)
			continue
		}
		asked := p.g.clock.Now()
		var st siskin.TargetStatus
		next, isReplica := p.nextTerm()
		err := p.probeConn.call(2*interval, func(ctx context.Context, t siskin.Target) (err error) {
			if isReplica {
				st, err = t.Wait(ctx, siskin.Position{Term: next}, interval)
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, interval)
			defer cancel()
			st, err = t.Status(ctx)
			return err
		})
		p.report(evStatus, asked, st, err)
		// A replica that has joined a later term answers immediately; the pause
		// limits the rate of calls until the primary of that term is known.
		pause := interval / 10
		if !isReplica || errors.Is(err, errRefused) {
			pause = interval - p.g.clock.Since(asked)
		}
		if errors.Is(err, errRefused) {
			pause = interval / 4
		}
		p.sleep(pause)
	}
}

// nextTerm returns the term after the newest known one, and whether the target
// was a replica at its last answer.
func (p *peer) nextTerm() (siskin.Term, bool) {
	p.g.mu.RLock()
	defer p.g.mu.RUnlock()
	t := p.g.machine.targets[p.index]
	isReplica := t.hasStatus && !t.refused && t.status.Role == siskin.RoleReplica
	return max(p.g.machine.term, t.status.StreamTerm) + 1, isReplica
}

// report posts the result of a probe.
func (p *peer) report(kind eventKind, askedAt time.Time, st siskin.TargetStatus, err error) {
	e := event{kind: kind, target: p.member.ID, status: st, askedAt: askedAt, hasStatus: err == nil}
	switch {
	case err == nil:
	case errors.Is(err, errRefused):
		e.kind = evRefused
	default:
		e.kind = evFailed
		if quiet, last := p.g.statementActivity(p.member.ID); !quiet.IsZero() {
			e.lastStatementAnswer = last
		}
	}
	p.g.post(e)
}

func (p *peer) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-p.g.clock.After(d):
	case <-p.g.ctx.Done():
	}
}

// States of the immediate probe. A probe requested while another one runs
// starts after it, since the running one may return an earlier state.
const (
	probeIdle int32 = iota
	probeRunning
	probeRepeat
)

// beginProbe reports whether the caller must run probeNow.
func (p *peer) beginProbe() bool {
	for {
		switch state := p.probeState.Load(); {
		case state == probeIdle && p.probeState.CompareAndSwap(probeIdle, probeRunning):
			return true
		case state == probeRunning && p.probeState.CompareAndSwap(probeRunning, probeRepeat):
			return false
		case state == probeRepeat:
			return false
		}
	}
}

// probeNow probes the target immediately, and again if another probe was
// requested meanwhile.
func (p *peer) probeNow() {
	for {
		p.probeOnce()
		if p.probeState.CompareAndSwap(probeRunning, probeIdle) || p.g.ctx.Err() != nil {
			return
		}
		p.probeState.Store(probeRunning)
	}
}

func (p *peer) probeOnce() {
	asked := p.g.clock.Now()
	var st siskin.TargetStatus
	status := func(ctx context.Context, t siskin.Target) (err error) {
		st, err = t.Status(ctx)
		return err
	}
	err := p.immediateConn.call(p.g.settings.Interval, status)
	if err != nil && !errors.Is(err, errRefused) {
		// The connection may be broken or unresponsive; retry on a new one.
		err = p.immediateConn.call(p.g.settings.Interval, status)
	}
	p.report(evStatus, asked, st, err)
}

// confirmLoop waits until the target has received the positions that commits
// wait for, and passes its statuses to the tracker.
func (p *peer) confirmLoop() {
	g := p.g
	for g.ctx.Err() == nil {
		pos, ok := g.tracker.lowestAwaited(p.index)
		if !ok || p.isPrimary() {
			select {
			case <-g.tracker.notify[p.index]:
			case <-g.ctx.Done():
			}
			continue
		}
		var st siskin.TargetStatus
		asked := g.clock.Now()
		err := p.confirmConn.call(2*g.settings.Interval, func(ctx context.Context, t siskin.Target) (err error) {
			st, err = t.Wait(ctx, pos, g.settings.Interval)
			return err
		})
		if err == nil {
			g.tracker.observe(st)
		}
		switch {
		case err != nil || st.StreamTerm != pos.Term || st.Received < pos.LSN:
			p.report(evStatus, asked, st, err)
			p.sleep(g.settings.Interval / 10)
		case asked.Sub(p.confirmStatusAt()) >= g.settings.Interval/2:
			p.confirmStatusNanos.Store(asked.UnixNano())
			p.report(evStatus, asked, st, nil)
		}
	}
}

func (p *peer) isPrimary() bool { return p.g.admission.Load().primary == p.member.ID }
