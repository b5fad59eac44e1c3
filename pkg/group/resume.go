package group

import "time"

// Resume forgets what a pause of this VM has made doubtful: the attempt in
// progress, which targets answer and how fresh their data is. Writes wait and
// targets count as unreachable until they have answered again.
func (g *Group) Resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	// Staleness is measured on the monotonic clock, which stands still while a
	// VM is suspended, so that older samples would make data look fresh.
	g.samples = samples{}
	g.activeUntil = now.Add(activePeriod)
	g.setPassive(now, event{kind: evTick})
	actions := g.machine.resume(now)
	g.publish(now)
	for _, a := range actions {
		g.execute(a)
	}
}

// resume returns the actions after a pause. Claims and promotions that are
// under way stay safe by their term.
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
