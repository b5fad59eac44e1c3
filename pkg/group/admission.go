package group

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

// admission is the current decision on new writes: admit, wait or refuse.
type admission struct {
	primary siskin.TargetID
	term    siskin.Term
	wait    bool  // writes wait for the next admission
	refuse  error // writes are refused with this error; takes precedence over wait
	changed chan struct{}
}

func (a *admission) equal(b *admission) bool {
	return a.primary == b.primary && a.term == b.term && a.wait == b.wait && (a.refuse == nil) == (b.refuse == nil)
}

// setAdmission replaces the admission if it has changed.
func (g *Group) setAdmission(now time.Time, v *siskin.GroupView) {
	next := &admission{primary: v.Primary, term: v.Term, changed: make(chan struct{})}
	p, _ := v.Target(v.Primary)
	isUp := p.Reachable && p.Status.Role == siskin.RolePrimary
	next.wait = !isUp || p.Status.Draining || !g.refusedAt.IsZero()
	next.refuse = g.machine.refusalReason(now, isUp)
	old := g.admission.Load()
	if old != nil && old.equal(next) {
		return
	}
	g.admission.Store(next)
	if old != nil {
		close(old.changed)
	}
}

// refusalReason returns an error if writes cannot succeed before the group is
// repaired, so that callers need not wait. It returns nil while targets still
// have time to answer a first probe or to follow a new primary.
func (m *machine) refusalReason(now time.Time, isUp bool) error {
	if m.startedAt.IsZero() || now.Sub(m.startedAt) < m.suspectTimeout() {
		return nil
	}
	if m.passive {
		return nil // a write that must wait makes this VM probe the targets
	}
	if !isUp {
		if m.reachableCount(now) < m.quorum() {
			return errNoWritablePrimary(m.Service, m.suspectTimeout())
		}
		return nil
	}
	followers := 0
	for _, t := range m.targets {
		if t.ID != m.primary && m.isReachable(now, t) && t.status.StreamTerm == m.term {
			followers++
		}
	}
	if followers < m.AckReplicas && now.Sub(m.adoptedAt) >= m.suspectTimeout() {
		return errLagging(m.Service, m.suspectTimeout())
	}
	return nil
}

// AdmitWrite implements siskin.Group.
func (g *Group) AdmitWrite(ctx context.Context) (siskin.TargetID, siskin.Term, func(), error) {
	var timeout <-chan time.Time
	for {
		now := g.admission.Load()
		switch {
		case now.refuse != nil:
			return "", 0, nil, now.refuse
		case g.confirmationsLag():
			return "", 0, nil, errLagging(g.settings.Service, g.settings.Interval)
		case !now.wait && g.tracker.canConfirm(now.term):
			g.writes.Add(1)
			return now.primary, now.term, g.writeDone, nil
		}
		if timeout == nil {
			timeout = g.clock.After(g.settings.MaxAdmitWait)
			g.Activate()
		}
		select {
		case <-now.changed:
		case <-timeout:
			return "", 0, nil, errNoWritablePrimary(g.settings.Service, g.settings.Interval)
		case <-ctx.Done():
			return "", 0, nil, errNoWritablePrimary(g.settings.Service, g.settings.Interval).(*siskin.Error).WithCause(ctx.Err())
		case <-g.ctx.Done():
			return "", 0, nil, errClosed()
		}
	}
}

// confirmationsLag reports whether a commit has waited too long for its
// confirmation. Further writes would wait at least as long, so they are refused
// as not run. Once the waiting commits have timed out, the next write is
// admitted.
func (g *Group) confirmationsLag() bool {
	oldestArrival := g.tracker.oldestArrival()
	return !oldestArrival.IsZero() && g.clock.Since(oldestArrival) > g.settings.MaxUnconfirmed
}

// WritesInProgress returns the number of admitted transactions that have not
// ended.
func (g *Group) WritesInProgress() int { return int(g.writes.Load()) }

// ReportFailure implements siskin.Group. A cause of kind NotRun means that the
// primary refuses writes; they are held until it has answered a probe.
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
	g.post(event{kind: evFailureReported, target: target})
}
