package group

import (
	"time"

	"siskintray.example/siskin"
)

// activePeriod is how long a VM that is no watcher probes after it saw a failure or
// could not ask a watcher. It is above the bound of 7 s of a change
// of primary, so that the VM takes part in the whole of one.
const activePeriod = 10 * time.Second

// Passive reports whether this VM leaves the probes to the watchers at present.
func (g *Group) Passive() bool { return g.passive.Load() }

// Activate makes this VM probe the targets itself for a while, such as when the
// watchers of the group do not answer.
func (g *Group) Activate() {
	if g.Passive() {
		g.post(event{kind: evFailureReported})
	}
}

// ApplyView takes over the view of a VM that probes, which was asked for at the
// given time. A VM that probes itself trusts its own probes and only looks at
// the primary of a later term.
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
		// The target may be lost to the other VM alone, so this one looks itself.
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

// setPassive begins or ends the time without own probes.
func (m *machine) setPassive(now time.Time, passive bool) {
	for _, t := range m.targets {
		if passive {
			t.refused = !m.isReachable(now, t)
			continue
		}
		// The targets get the usual time to answer before they are suspected, and
		// what they said of the primary says nothing about this moment.
		t.answeredAt, t.status.HeardPrimary = now, 0
	}
	m.passive = passive
	m.attemptAt, m.suspectProbedAt = time.Time{}, time.Time{}
	clear(m.since[:])
}

// probeDelay returns how long no probe of the target is needed, and a channel that
// is closed when one may be needed earlier.
func (p *peer) probeDelay() (time.Duration, <-chan struct{}) {
	g := p.g
	g.mu.RLock()
	activated := g.activated
	g.mu.RUnlock()
	interval := g.settings.Interval
	if !g.Passive() {
		// While writes are held, a probe is to tell of a later term at once.
		now := g.admission.Load()
		if now.wait || now.refuse != nil {
			return 0, nil
		}
		return interval - g.clock.Since(p.confirmStatusAt()), now.changed
	}
	// A statement in progress may wait on a connection that went silent. The
	// pool needs the time of the first unanswered probe to within two intervals
	// to tell connections from before the fault from later ones.
	if quiet, _ := g.statementActivity(p.member.ID); !quiet.IsZero() {
		return 0, nil
	}
	return interval, activated
}

// confirmStatusAt returns when the last status was asked for that came with the
// confirmation of a write. It says as much as a probe does.
func (p *peer) confirmStatusAt() time.Time { return time.Unix(0, p.confirmStatusNanos.Load()) }

// sleepOrSignal sleeps for d or until ch is closed.
func (p *peer) sleepOrSignal(d time.Duration, ch <-chan struct{}) {
	select {
	case <-p.g.clock.After(d):
	case <-ch:
	case <-p.g.ctx.Done():
	}
}
