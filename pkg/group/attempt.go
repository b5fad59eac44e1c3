package group

import (
	"time"

	"siskintray.example/siskin"
)

type phase int

const (
	phaseDrain   phase = iota // the primary accepts no new writes; running ones complete
	phaseCatchUp              // replicas receive the rest of the primary's log
	phaseGrace                // other homes read the confirmations they wait for
	phaseClaim                // targets are claimed
	phasePromote              // the chosen target is promoted
)

// attempt is the state of one attempt to change the primary.
type attempt struct {
	number   int
	request  int // the operator's request, 0 for none
	phase    phase
	term     siskin.Term
	deadline time.Time
	// preferred wins among targets with equal logs; empty for no preference.
	preferred siskin.TargetID
	// planned is set when the primary is healthy and is drained first.
	planned bool
	// unresponsive is set when the primary does not answer.
	unresponsive bool
	// force is set when the attempt promotes at its deadline even with fewer
	// claims than a quorum.
	force bool
	// lastResort is claimed only when the other targets cannot form a quorum: a
	// primary that is cut off from its replicas has the longest log and would
	// be promoted again.
	lastResort    siskin.TargetID
	claimSent     map[siskin.TargetID]bool
	grants        map[siskin.TargetID]siskin.TargetStatus
	claimFailed   map[siskin.TargetID]bool
	caughtUp      map[siskin.TargetID]bool
	drainedEnd    siskin.Position // end of the drained primary's log
	nextStep      time.Time       // time of the next drain call, or end of the grace period
	drainInFlight bool            // a drain call is in progress
}

func (m *machine) newAttempt(now time.Time) *attempt {
	m.attempts++
	m.attemptAt = time.Time{}
	m.attempt = &attempt{
		number:      m.attempts,
		claimSent:   make(map[siskin.TargetID]bool),
		grants:      make(map[siskin.TargetID]siskin.TargetStatus),
		claimFailed: make(map[siskin.TargetID]bool), caughtUp: make(map[siskin.TargetID]bool),
	}
	return m.attempt
}

// evaluate advances the attempt in progress or begins one.
func (m *machine) evaluate(now time.Time) {
	if m.attempt != nil {
		m.advance(now)
		return
	}
	c := m.detect(now)
	if c == causeNone {
		m.attemptAt = time.Time{}
		return
	}
	// A delay set for a planned change must not postpone a failover.
	if m.attemptAt.IsZero() || (m.attemptCause.planned() && !c.planned()) {
		m.attemptCause = c
		m.attemptAt = now.Add(time.Duration(m.rank)*m.heartbeatTimeout()/2 + m.jitter(m.heartbeatTimeout()/8))
	}
	if now.Before(m.attemptAt) {
		return
	}
	a := m.newAttempt(now)
	switch {
	case c == causeReplicaFenced:
		a.preferred = m.primary
		m.beginDrain(now)
	case c == causeLeaving:
		a.preferred = m.successor(now).ID
		m.beginDrain(now)
	default:
		if c != causePrimaryFenced {
			a.lastResort = m.primary
		}
		a.unresponsive = c == causeDead || c == causeUnreachable
		m.beginClaim(now)
	}
}

// advance handles the deadlines of the attempt in progress.
func (m *machine) advance(now time.Time) {
	a := m.attempt
	switch {
	case !now.Before(a.deadline):
		m.handleDeadline(now)
	case a.phase == phaseDrain && !a.drainInFlight && !now.Before(a.nextStep):
		m.sendDrain()
	case a.phase == phaseGrace && !now.Before(a.nextStep):
		m.beginClaim(now)
	}
}

// handleDeadline promotes with the claims obtained so far if the change is
// forced; otherwise it fails the attempt.
func (m *machine) handleDeadline(now time.Time) {
	a := m.attempt
	if a.phase == phaseClaim && a.force && len(a.grants) > 0 {
		m.promoteBest(now)
		return
	}
	m.fail(now, errAttemptExpired(m.Service, a.phase, len(a.grants), m.quorum()))
}

// fail ends the attempt without a change of primary and schedules the next one
// with exponential backoff.
func (m *machine) fail(now time.Time, err error) {
	a := m.attempt
	m.failures++
	if a.planned && a.phase <= phaseClaim {
		m.emit(action{kind: actDrain, target: m.primary, hold: 0})
	}
	m.finish(err)
	shift := min(m.failures, 4)
	m.attemptAt = now.Add(m.jitter(m.heartbeatTimeout() << shift / 2))
	m.attemptCause = causeDead
	if a.planned {
		// Each planned attempt blocks new writes, so its backoff is longer.
		m.attemptAt = now.Add(m.longDebounce() << shift)
		m.attemptCause = causeLeaving
	}
}

func (m *machine) finish(err error) {
	a := m.attempt
	if err == nil && a.request != 0 && m.primary != a.preferred {
		err = errOtherTarget(a.preferred, m.primary)
	}
	m.emit(action{kind: actDone, attempt: a.number, request: a.request, err: err})
	m.attempt = nil
}
