package group

import (
	"time"

	"siskintray.example/siskin"
)

// activePeriod is how long a VM that is not a watcher probes after it detected
// a failure or could not query a watcher. It exceeds the limit of 7 s for a
// change of primary, so that the VM takes part in the whole change.
const activePeriod = 10 * time.Second

// Passive reports whether this VM currently leaves the probes to the watchers.
func (g *Group) Passive() bool { return g.passive.Load() }

// Activate makes this VM probe the targets itself for activePeriod, for
// instance if the watchers of the group do not answer.
func (g *Group) Activate() {
	if g.Passive() {
		g.post(event{kind: evFailureReported})
	}
}

// ApplyView applies the view of a VM that probes, which was requested at
// askedAt. A VM that probes itself relies on its own probes; it only probes the
// primary of a later term at once.
func (g *Group) ApplyView(v *siskin.GroupView, askedAt time.Time) {
	g.mu.RLock()
	term := g.machine.term
	g.mu.RUnlock()
	if !g.Passive() {
		if v.Term > term && v.Primary != "" {
			g.post(event{kind: evRemotePrimary, target: v.Primary})
		}
		return
	}
	if v.Term < term {
		return
	}
	for _, t := range v.Targets {
		e := event{kind: evRemoteUnreachable, target: t.Status.ID, askedAt: askedAt}
		if t.Reachable {
			e.kind, e.status, e.hasStatus = evRemoteStatus, t.Status, true
		}
		g.post(e)
	}
}

// setPassive decides whether this VM probes. The caller holds mu.
func (g *Group) setPassive(now time.Time, e event) {
	m := g.machine
	switch e.kind {
	case evFailureReported, evFailed, evRefused, evChange:
		g.activeUntil = now.Add(activePeriod)
	case evRemoteUnreachable:
		// Perhaps only the other VM cannot reach the target, so this VM probes.
		if m.isReachable(now, m.target(e.target)) {
			g.activeUntil = now.Add(activePeriod)
		}
	}
	if m.confirmationOverdue(now) {
		g.activeUntil = now.Add(activePeriod)
	}
	p := m.target(m.primary)
	passive := m.attempt == nil && m.isReachable(now, p) && p.status.Role == siskin.RolePrimary &&
		!now.Before(g.activeUntil) && !g.watcher()
	if passive == m.passive {
		return
	}
	m.setPassive(now, passive)
	g.passive.Store(passive)
	if t := m.target(e.target); !passive && t != nil && !e.lastStatementAnswer.IsZero() && e.lastStatementAnswer.Before(now) {
		t.answeredAt = e.lastStatementAnswer
	}
	if !passive {
		close(g.activated)
		g.activated = make(chan struct{})
	}
}

// setPassive switches between relying on the watchers and probing.
func (m *machine) setPassive(now time.Time, passive bool) {
	for _, t := range m.targets {
		if passive {
			t.refused = !m.isReachable(now, t)
			continue
		}
		// Targets get the usual time to answer before they are suspected. What
		// they last reported about the primary is outdated.
		t.answeredAt, t.status.HeardPrimary = now, 0
	}
	m.passive = passive
	m.attemptAt, m.suspectProbedAt = time.Time{}, time.Time{}
	clear(m.since[:])
}

// probeDelay returns how long no probe of the target is needed, and a channel
// that is closed if one may be needed earlier.
func (p *peer) probeDelay() (time.Duration, <-chan struct{}) {
	g := p.g
	g.mu.RLock()
	activated := g.activated
	g.mu.RUnlock()
	interval := g.settings.Interval
	if !g.Passive() {
		// While writes are held, probe without delay to detect a later term.
		now := g.admission.Load()
		if now.wait || now.refuse != nil {
			return 0, nil
		}
		return interval - g.clock.Since(p.confirmStatusAt()), now.changed
	}
	// A statement may be waiting on an unresponsive connection. The pool needs
	// the time of the first unanswered probe with an accuracy of two intervals,
	// to distinguish connections opened before the fault from later ones.
	if quiet, _ := g.statementActivity(p.member.ID); !quiet.IsZero() {
		return 0, nil
	}
	return interval, activated
}

// confirmStatusAt returns when the last status that came with the confirmation
// of a write was requested. Such a status replaces a probe.
func (p *peer) confirmStatusAt() time.Time { return time.Unix(0, p.confirmStatusNanos.Load()) }

// sleepOrSignal sleeps for d, or until ch or the group is closed.
func (p *peer) sleepOrSignal(d time.Duration, ch <-chan struct{}) {
	select {
	case <-p.g.clock.After(d):
	case <-ch:
	case <-p.g.ctx.Done():
	}
}
