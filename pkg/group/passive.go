package group

import (
	"time"

	"siskintray.example/siskin"
)

// activeFor is how long a VM that is no watcher probes after it saw a failure or
// could not ask a watcher. It is above the bound of 7 s of a change
// of primary, so that the VM takes part in the whole of one.
const activeFor = 10 * time.Second

// Passive reports whether this VM leaves the probes to the watchers at present.
func (g *Group) Passive() bool { return g.passive.Load() }

// Activate makes this VM probe the targets itself for a while, such as when the
// watchers of the group do not answer.
func (g *Group) Activate() {
	if g.Passive() {
		g.post(event{kind: evSuspect})
	}
}

// ApplyView takes over the view of a VM that probes, which was asked for at the
// given time. A VM that probes itself trusts its own probes and only looks at
// the primary of a later term.
func (g *Group) ApplyView(v *siskin.GroupView, asked time.Time) {
	g.mu.RLock()
	term := g.machine.term
	g.mu.RUnlock()
	if !g.Passive() {
		if v.Term > term && v.Primary != "" {
			g.post(event{kind: evLook, target: v.Primary})
		}
		return
	}
	if v.Term < term {
		return
	}
	for _, t := range v.Targets {
		e := event{kind: evLost, target: t.Status.ID, asked: asked}
		if t.Reachable {
			e.kind, e.status, e.known = evLearned, t.Status, true
		}
		g.post(e)
	}
}

// setPassive decides whether this VM probes. The caller holds mu.
func (g *Group) setPassive(now time.Time, e event) {
	m := g.machine
	switch e.kind {
	case evSuspect, evFailed, evRefused, evChange:
		g.activeUntil = now.Add(activeFor)
	case evLost:
		// The target may be lost to the other VM alone, so this one looks itself.
		if m.isReachable(now, m.target(e.target)) {
			g.activeUntil = now.Add(activeFor)
		}
	}
	if m.isPending(now) {
		g.activeUntil = now.Add(activeFor)
	}
	p := m.target(m.primary)
	passive := m.attempt == nil && m.isReachable(now, p) && p.status.Role == siskin.RolePrimary &&
		!now.Before(g.activeUntil) && !g.watcher()
	if passive == m.passive {
		return
	}
	m.setPassive(now, passive)
	g.passive.Store(passive)
	if t := m.target(e.target); !passive && t != nil && !e.heard.IsZero() && e.heard.Before(now) {
		t.answered = e.heard
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
		t.answered, t.status.HeardPrimary = now, 0
	}
	m.passive = passive
	m.electAt, m.probed = time.Time{}, time.Time{}
	clear(m.since[:])
}

// spared returns how long no probe of the target is needed, and a channel that
// is closed when one may be needed earlier.
func (p *peer) spared() (time.Duration, <-chan struct{}) {
	g := p.g
	g.mu.RLock()
	activated := g.activated
	g.mu.RUnlock()
	interval := g.settings.Interval
	if !g.Passive() {
		// While writes are held, a probe is to tell of a later term at once.
		now := g.gate.Load()
		if now.hold || now.refuse != nil {
			return 0, nil
		}
		return interval - g.clock.Since(p.toldAt()), now.changed
	}
	// A statement in progress may wait on a connection that went silent. The
	// pool needs the time of the first unanswered probe to within two intervals
	// to tell connections from before the fault from later ones.
	if quiet, _ := g.heard(p.member.ID); !quiet.IsZero() {
		return 0, nil
	}
	return interval, activated
}

// toldAt returns when the last status was asked for that came with the
// confirmation of a write. It says as much as a probe does.
func (p *peer) toldAt() time.Time { return time.Unix(0, p.told.Load()) }

// sleepUntil sleeps for d or until ch is closed.
func (p *peer) sleepUntil(d time.Duration, ch <-chan struct{}) {
	select {
	case <-p.g.clock.After(d):
	case <-ch:
	case <-p.g.ctx.Done():
	}
}
