package group

import (
	"time"

	"siskintray.example/siskin"
)

// Times of a planned change. The drain is renewed well before it expires. The
// grace period lets other homes read the confirmations that they wait for
// before they learn of a claim.
const (
	drainPoll    = 10 * time.Millisecond
	confirmGrace = 20 * time.Millisecond
)

func (m *machine) drainHold() time.Duration { return min(5*m.Interval, time.Second) }

// drainLimit is the longest time that a planned change blocks new writes.
func (m *machine) drainLimit() time.Duration { return min(15*m.Interval, 3*time.Second) }

// handleChangeRequest begins the change of primary that an operator requested.
func (m *machine) handleChangeRequest(now time.Time, e event) {
	if m.attempt != nil {
		m.emit(action{kind: actDone, request: e.request, err: errChangeInProgress(m.Service)})
		return
	}
	if e.preferred == m.primary && !e.force && m.isReachable(now, m.target(m.primary)) {
		m.emit(action{kind: actDone, request: e.request})
		return
	}
	a := m.newAttempt(now)
	a.preferred, a.force, a.request = e.preferred, e.force, e.request
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
	m.sendDrain()
}

func (m *machine) sendDrain() {
	a := m.attempt
	a.drainInFlight = true
	m.emit(action{kind: actDrain, target: m.primary, attempt: a.number, hold: m.drainHold()})
}

// handleDrainAnswer handles the answer to a drain.
func (m *machine) handleDrainAnswer(now time.Time, e event) {
	a := m.attempt
	if a == nil || a.number != e.attempt || a.phase != phaseDrain {
		return
	}
	a.drainInFlight, a.nextStep = false, now.Add(drainPoll)
	switch {
	case !e.ok:
		m.fail(now, errNoPrimary(m.Service))
	case e.status.Role != siskin.RolePrimary || e.status.StreamTerm != m.term:
		m.fail(now, errOtherVM(e.status.StreamTerm))
	case e.status.Running == 0:
		a.phase = phaseCatchUp
		a.drainedEnd = siskin.Position{Term: m.term, LSN: e.status.Received}
		m.requestCatchUp()
	}
}

func (m *machine) requestCatchUp() {
	for _, t := range m.targets {
		if t.ID != m.primary {
			m.emit(action{kind: actCatchUp, target: t.ID, attempt: m.attempt.number, pos: m.attempt.drainedEnd})
		}
	}
	m.attempt.caughtUp[m.primary] = true
}

// handleCatchUpAnswer handles the answer of a replica that waited for the end
// of the log. Claims follow only when the preferred target and as many replicas
// as a commit needs have caught up, so that every completed write can be
// confirmed first.
func (m *machine) handleCatchUpAnswer(now time.Time, e event) {
	a := m.attempt
	if a == nil || a.number != e.attempt || a.phase != phaseCatchUp {
		return
	}
	if !e.ok || e.status.StreamTerm != a.drainedEnd.Term || e.status.Received < a.drainedEnd.LSN {
		return // the attempt fails at its deadline if too few catch up
	}
	a.caughtUp[e.target] = true
	if a.caughtUp[a.preferred] && len(a.caughtUp) > m.AckReplicas {
		a.phase, a.nextStep = phaseGrace, now.Add(confirmGrace)
	}
}
