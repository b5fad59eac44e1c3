package group

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

// gate says whether writes are admitted at present.
type gate struct {
	primary siskin.TargetID
	term    siskin.Term
	hold    bool  // writes wait for the next gate
	refuse  error // writes are refused; wins over hold
	changed chan struct{}
}

func (a *gate) same(b *gate) bool {
	return a.primary == b.primary && a.term == b.term && a.hold == b.hold && (a.refuse == nil) == (b.refuse == nil)
}

// setGate replaces the gate when it changed.
func (g *Group) setGate(now time.Time, v *siskin.GroupView) {
	next := &gate{primary: v.Primary, term: v.Term, changed: make(chan struct{})}
	p, _ := v.Target(v.Primary)
	isUp := p.Reachable && p.Status.Role == siskin.RolePrimary
	next.hold = !isUp || p.Status.Draining || !g.refusedAt.IsZero()
	next.refuse = g.machine.refusal(now, isUp)
	old := g.gate.Load()
	if old != nil && old.same(next) {
		return
	}
	g.gate.Store(next)
	if old != nil {
		close(old.changed)
	}
}

// refusal returns why writes cannot succeed before the group is repaired, so
// that callers are answered at once. It waits for the time in which targets
// are asked and follow a new primary.
func (m *machine) refusal(now time.Time, isUp bool) error {
	if m.started.IsZero() || now.Sub(m.started) < m.suspectAfter() {
		return nil
	}
	if m.passive {
		return nil // a write that must wait makes this VM probe
	}
	if !isUp {
		if m.reachableCount(now) < m.quorum() {
			return errHeld(m.Service, m.suspectAfter())
		}
		return nil
	}
	followers := 0
	for _, t := range m.targets {
		if t.ID != m.primary && m.isReachable(now, t) && t.status.StreamTerm == m.term {
			followers++
		}
	}
	if followers < m.AckReplicas && now.Sub(m.adopted) >= m.suspectAfter() {
		return errLagging(m.Service, m.suspectAfter())
	}
	return nil
}

// AdmitWrite implements siskin.Group.
func (g *Group) AdmitWrite(ctx context.Context) (siskin.TargetID, siskin.Term, func(), error) {
	var timeout <-chan time.Time
	for {
		now := g.gate.Load()
		switch {
		case now.refuse != nil:
			return "", 0, nil, now.refuse
		case g.lagging():
			return "", 0, nil, errLagging(g.settings.Service, g.settings.Interval)
		case !now.hold && g.tracker.admits(now.term):
			g.writes.Add(1)
			return now.primary, now.term, g.done, nil
		}
		if timeout == nil {
			timeout = g.clock.After(g.settings.MaxAdmitWait)
			g.Activate()
		}
		select {
		case <-now.changed:
		case <-timeout:
			return "", 0, nil, errHeld(g.settings.Service, g.settings.Interval)
		case <-ctx.Done():
			return "", 0, nil, errHeld(g.settings.Service, g.settings.Interval).(*siskin.Error).WithCause(ctx.Err())
		case <-g.ctx.Done():
			return "", 0, nil, errClosed()
		}
	}
}

// lagging reports whether a commit has waited too long for its confirmation.
// Further writes would wait as long or longer, so they are refused as not run.
// When the waiting commits have been given up, the next write tries again.
func (g *Group) lagging() bool {
	oldest := g.tracker.oldest()
	return !oldest.IsZero() && g.clock.Since(oldest) > g.settings.MaxUnconfirmed
}

// WritesInProgress returns the number of admitted transactions that have not ended.
func (g *Group) WritesInProgress() int { return int(g.writes.Load()) }

// ReportFailure implements siskin.Group. A cause of kind NotRun says that the primary
// refuses writes; they are held until it has answered a probe.
func (g *Group) ReportFailure(target siskin.TargetID, cause error) {
	if cause != nil && siskin.KindOf(cause) == siskin.NotRun {
		g.mu.Lock()
		now := g.clock.Now()
		if target == g.machine.primary {
			g.refusedAt = now
			g.publish(now)
		}
		g.mu.Unlock()
	}
	g.post(event{kind: evSuspect, target: target})
}
