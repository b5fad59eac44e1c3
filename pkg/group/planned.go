package group

import (
	"time"

	"siskintray.example/siskin"
)

// Times of a planned change. The drain is renewed well before it ends; the
// settling time lets other homes read the confirmations that they wait for
// before they hear of a claim.
const (
	drainPoll  = 10 * time.Millisecond
	settleTime = 20 * time.Millisecond
)

func (m *machine) drainHold() time.Duration { return min(5*m.Interval, time.Second) }

// drainLimit bounds the time that new writes are held for a planned change.
func (m *machine) drainLimit() time.Duration { return min(15*m.Interval, 3*time.Second) }

// change begins the change of primary that an operator asked for.
func (m *machine) change(now time.Time, e event) {
	if m.attempt != nil {
		m.do(action{kind: actDone, request: e.request, err: errBusy(m.Service)})
		return
	}
	if e.wanted == m.primary && !e.force && m.isReachable(now, m.target(m.primary)) {
		m.do(action{kind: actDone, request: e.request})
		return
	}
	a := m.newAttempt(now)
	a.wanted, a.force, a.request = e.wanted, e.force, e.request
	if e.force {
		m.beginClaim(now)
		return
	}
	if !m.isReachable(now, m.target(m.primary)) {
		m.fail(now, errNoPrimary(m.Service))
		return
	}
	m.beginDrain(now)
}

func (m *machine) beginDrain(now time.Time) {
	a := m.attempt
	a.planned, a.phase = true, phaseDrain
	a.deadline = now.Add(m.drainLimit())
	m.drain()
}

func (m *machine) drain() {
	a := m.attempt
	a.busy = true
	m.do(action{kind: actDrain, target: m.primary, attempt: a.number, hold: m.drainHold()})
}

// drained handles the answer to a drain.
func (m *machine) drained(now time.Time, e event) {
	a := m.attempt
	if a == nil || a.number != e.attempt || a.phase != phaseDrain {
		return
	}
	a.busy, a.next = false, now.Add(drainPoll)
	switch {
	case !e.ok:
		m.fail(now, errNoPrimary(m.Service))
	case e.status.Role != siskin.RolePrimary || e.status.StreamTerm != m.term:
		m.fail(now, errRival(e.status.StreamTerm))
	case e.status.Running == 0:
		a.phase = phaseReach
		a.end = siskin.Position{Term: m.term, LSN: e.status.Received}
		m.reach()
	}
}

func (m *machine) reach() {
	for _, t := range m.targets {
		if t.ID != m.primary {
			m.do(action{kind: actReach, target: t.ID, attempt: m.attempt.number, pos: m.attempt.end})
		}
	}
	m.attempt.reached[m.primary] = true
}

// reached handles the answer of a replica that was asked to reach the end of
// the log. The claim waits for the wanted target and for as many replicas as a
// commit needs, so that every finished write can be confirmed first.
func (m *machine) reached(now time.Time, e event) {
	a := m.attempt
	if a == nil || a.number != e.attempt || a.phase != phaseReach {
		return
	}
	if !e.ok || e.status.StreamTerm != a.end.Term || e.status.Received < a.end.LSN {
		return // the deadline ends the attempt when too few reach it
	}
	a.reached[e.target] = true
	if a.reached[a.wanted] && len(a.reached) > m.AckReplicas {
		a.phase, a.next = phaseSettle, now.Add(settleTime)
	}
}
