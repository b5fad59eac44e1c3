package group

import (
	"math/rand/v2"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/invar"
)

var (
	termsGrow   = invar.New("GroupTermsOnlyGrow")
	quorumHeld  = invar.New("GroupPromotionHoldsQuorum")
	newestLog   = invar.New("GroupPromotesNewestLog")
	ackedInTerm = invar.New("GroupAckNotFenced")
)

// machine makes the decisions of one VM about one group. It does no I/O: step
// takes an event and returns actions.
type machine struct {
	Settings
	rng     *rand.Rand
	targets []*targetState
	rank    int // rank of this VM among the watchers of the group; 0 acts first

	term         siskin.Term     // term of the newest primary known
	primary      siskin.TargetID // empty while none is known
	adoptedAt    time.Time       // when the primary became known
	promotedHere bool            // this VM promoted the primary
	changedAt    time.Time       // when one primary last replaced another

	// pendingSince is the arrival time of the oldest unconfirmed write, set by
	// the caller of step; zero if there is none.
	pendingSince time.Time

	attempt  *attempt
	attempts int // number of the last attempt
	failures int // attempts that failed since the last success
	// startedAt is the time of the first step or of the last resume, from which
	// targets have suspectTimeout to answer.
	startedAt       time.Time
	attemptAt       time.Time // when to begin an attempt for attemptCause; zero for never
	attemptCause    cause
	since           [causeCount]time.Time
	suspectProbedAt time.Time // when the replicas were last probed because of a suspicion
	maxClaim        siskin.Term
	maxLog          siskin.Position

	// quorumOverride replaces the number of claims needed, for tests with
	// broken rules; zero in production.
	quorumOverride int
	// compareLogs orders logs; tests with broken rules replace it.
	compareLogs func(a, b siskin.Position) int

	// resuming is set while this VM resumes from a pause and makes no
	// decisions. resumedAt is the end of its last pause.
	resuming  bool
	resumedAt time.Time

	// passive is set while this VM leaves the probes to the watchers. It then
	// makes no decisions, and no target becomes unreachable because of the time
	// since its last answer.
	passive bool

	actions []action
}

func newMachine(s Settings, rng *rand.Rand) *machine {
	m := &machine{Settings: s, rng: rng, compareLogs: siskin.Position.Compare}
	for _, member := range s.Members {
		m.targets = append(m.targets, &targetState{Member: member})
	}
	return m
}

// step handles one event and returns the actions to run. The slice is valid
// until the next call.
func (m *machine) step(now time.Time, e event) []action {
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	m.actions = m.actions[:0]
	if e.hasStatus && e.askedAt.Before(m.resumedAt) {
		return m.actions // the status was requested before the pause
	}
	m.record(now, e)
	if m.resuming {
		if e.kind == evChange {
			m.emit(action{kind: actDone, request: e.request, err: errPaused(m.Service)})
		}
		return m.actions
	}
	switch e.kind {
	case evClaimed:
		m.handleClaimAnswer(now, e)
	case evPromoted:
		m.handlePromoteAnswer(now, e)
	case evDrained:
		m.handleDrainAnswer(now, e)
	case evCaughtUp:
		m.handleCatchUpAnswer(now, e)
	case evChange:
		m.handleChangeRequest(now, e)
	case evFailureReported, evRemotePrimary:
		m.emit(action{kind: actProbe, target: e.target})
	}
	if !m.passive {
		m.evaluate(now)
		m.rejoin(now)
	}
	return m.actions
}

func (m *machine) emit(a action) { m.actions = append(m.actions, a) }

func (m *machine) target(id siskin.TargetID) *targetState {
	for _, t := range m.targets {
		if t.ID == id {
			return t
		}
	}
	return nil
}

// record updates the state of the event's target.
func (m *machine) record(now time.Time, e event) {
	t := m.target(e.target)
	if t == nil {
		return
	}
	if e.hasStatus {
		m.observe(now, t, e.status)
		return
	}
	if e.kind == evRefused {
		t.refused = true
	}
}

func (m *machine) observe(now time.Time, t *targetState, st siskin.TargetStatus) {
	t.hasStatus, t.answeredAt, t.refused, t.unreachableSince = true, now, false, time.Time{}
	// Answers on different connections may arrive out of order. Claimed terms
	// only increase, and so do stream terms, except that the stream term of a
	// demoted primary is 0 until its stream begins. So an answer with a lower
	// term is outdated.
	older := st.StreamTerm < t.status.StreamTerm && st.StreamTerm > 0
	if st.ClaimedTerm < t.status.ClaimedTerm || (st.ClaimedTerm == t.status.ClaimedTerm && older) {
		return
	}
	t.status = st
	if st.ClaimedTerm > m.maxClaim {
		m.maxClaim = st.ClaimedTerm
		isRival := st.ClaimedTerm > m.term && st.ClaimedBy != m.Self
		if m.attempt == nil && isRival && m.rank > 0 && !m.attemptAt.IsZero() {
			// Another VM has started an attempt; leave it the time for one. The
			// VM of rank 0 does not wait, so that two VMs do not both defer to
			// each other.
			m.attemptAt = now.Add(m.suspectTimeout() + m.jitter(m.Interval))
		}
	}
	if st.Role == siskin.RolePrimary && st.StreamTerm > m.term {
		m.adopt(now, t.ID, st.StreamTerm)
	}
}

// adopt records target as the primary of term.
func (m *machine) adopt(now time.Time, target siskin.TargetID, term siskin.Term) {
	termsGrow.Check(term > m.term, "group %s: term %d after %d", m.Service, term, m.term)
	m.promotedHere = m.attempt != nil && m.attempt.term == term
	if m.primary != "" && m.primary != target {
		m.changedAt = now
	}
	m.term, m.primary, m.adoptedAt = term, target, now
	m.attemptAt, m.failures = time.Time{}, 0
	clear(m.since[:])
	for _, t := range m.targets {
		t.followOrderedAt = time.Time{}
	}
	if a := m.attempt; a != nil {
		if m.promotedHere {
			m.finish(nil)
		} else if a.term <= term {
			m.fail(now, errOtherVM(term))
		}
	}
}

func (m *machine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(limit) + 1))
}

// isReachable reports whether the target has answered within suspectTimeout.
// While this VM is passive, the time since the last answer does not count.
func (m *machine) isReachable(now time.Time, t *targetState) bool {
	if m.passive {
		return t != nil && t.hasStatus && !t.refused
	}
	return t != nil && t.reachable(now, m.suspectTimeout())
}

func (m *machine) reachableCount(now time.Time) int {
	n := 0
	for _, t := range m.targets {
		if m.isReachable(now, t) {
			n++
		}
	}
	return n
}
