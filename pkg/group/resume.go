package group

import "time"

// Resume discards the state that a pause of this VM has made unreliable: the
// attempt in progress, the reachability of targets and the samples for
// staleness. Writes wait and targets count as unreachable until they have
// answered again.
func (g *Group) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	// Staleness is measured with the monotonic clock, which stops while a VM is
	// suspended, so that older samples would understate it.
	g.samples = samples{}
	g.activeUntil = now.Add(activePeriod)
	g.setPassive(now, event{kind: evTick})
	actions := g.machine.resume(now)
	g.publish(now)
	for _, a := range actions {
		g.execute(a)
	}
}

// resume resets the machine after a pause and returns the actions to run.
// Claims and promotions in flight are safe because of their terms.
func (m *machine) resume(now time.Time) []action {
	m.actions = m.actions[:0]
	if m.attempt != nil {
		m.fail(now, errPaused(m.Service))
	}
	m.resumedAt, m.startedAt = now, now
	m.attemptAt, m.suspectProbedAt = time.Time{}, time.Time{}
	clear(m.since[:])
	for _, t := range m.targets {
		t.answeredAt = time.Time{}
		m.emit(action{kind: actProbe, target: t.ID})
	}
	return m.actions
}
