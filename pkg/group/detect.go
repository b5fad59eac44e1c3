package group

import (
	"time"

	"siskintray.example/siskin"
)

// cause is a reason to change the primary.
type cause int

const (
	causeNone cause = iota
	// causeDead: this VM does not reach the primary and no replica hears it.
	causeDead
	// causeUnreached: this VM does not reach the primary, but replicas hear it.
	// It is acted on late and only while the log does not grow, since a growing
	// log shows that other VMs reach the primary.
	causeUnreached
	// causeCutOff: the primary answers, but so many replicas have lost their
	// stream that writes cannot be confirmed.
	causeCutOff
	// causeFenced: the primary is claimed for a later term that nobody uses.
	causeFenced
	// causeStuck: a replica is claimed for a later term that nobody uses, so it
	// cannot follow the primary until a new term begins.
	causeStuck
	// causeLeaving: the primary is leaving and a replica can take over.
	causeLeaving
	causeCount
)

// planned reports whether the primary works, so that it is drained first.
func (c cause) planned() bool { return c == causeStuck || c == causeLeaving }

// detect returns the most urgent cause that has held for its time.
func (m *machine) detect(now time.Time) cause {
	p := m.target(m.primary)
	holds := m.conditions(now, p)
	for c, h := range holds {
		switch {
		case !h:
			m.since[c] = time.Time{}
		case m.since[c].IsZero():
			m.since[c] = now
		}
	}
	for c := causeDead; c < causeCount; c++ {
		if holds[c] && now.Sub(m.since[c]) >= m.holdTime(c, now) {
			return c
		}
	}
	return causeNone
}

// conditions returns which causes hold at this moment.
func (m *machine) conditions(now time.Time, p *targetState) (holds [causeCount]bool) {
	if !m.isReachable(now, p) || p.status.Role != siskin.RolePrimary {
		heard := m.heard(now, p)
		m.askReplicas(now)
		holds[causeDead] = !heard && m.reachableCount(now) >= m.quorum()
		holds[causeUnreached] = heard
		return holds
	}
	st := p.status
	holds[causeFenced] = st.ClaimedTerm > st.StreamTerm
	holds[causeCutOff] = m.stopped(now, time.Time{}) >= m.quorum()
	holds[causeStuck] = m.stuck(now) && !st.Draining
	holds[causeLeaving] = st.Leaving && m.successor(now) != nil && !st.Draining
	return holds
}

// holdTime returns how long a cause must hold before it is acted on.
func (m *machine) holdTime(c cause, now time.Time) time.Duration {
	switch c {
	case causeDead:
		if m.primary == "" {
			return m.suspectAfter() // the primary may not have been asked yet
		}
		return 0
	case causeCutOff:
		// Answers from before the pending write say nothing about it: a stream
		// that was still may have begun since.
		if m.isPending(now) && m.stopped(now, m.pendingSince) >= m.quorum() {
			return 0
		}
		if m.claimedAway() {
			return m.suspectAfter() // writes are held; the claimer gets its time
		}
		return m.cutOffAfter()
	case causeFenced:
		return m.suspectAfter()
	case causeLeaving:
		return 0
	case causeUnreached:
		return m.unreachedPatience(now)
	}
	return m.cutOffAfter()
}

// claimedAway reports whether a quorum is claimed for a later term.
func (m *machine) claimedAway() bool {
	n := 0
	for _, t := range m.targets {
		if t.status.ClaimedTerm > m.term {
			n++
		}
	}
	return n >= m.quorum()
}

// recentChange is the time for which a change of primary counts as recent.
const recentChange = 30 * time.Second

// unreachedPatience returns how long the log must stand still before a primary
// that replicates is replaced. A refused connection is a clearer sign than
// silence, which may be this VM's own. Soon after a change the time is longer,
// so that two VMs that reach different targets do not take turns.
func (m *machine) unreachedPatience(now time.Time) time.Duration {
	if m.term > 0 && !m.changed.IsZero() && now.Sub(m.changed) < recentChange {
		return min(20*m.Interval, 3*time.Second)
	}
	if p := m.target(m.primary); p != nil && p.refused {
		return m.suspectAfter()
	}
	return min(5*m.Interval, 2*time.Second)
}

// heard reports whether a reachable replica still hears the primary. After a
// refused connection less silence is asked for than after lost answers.
func (m *machine) heard(now time.Time, p *targetState) bool {
	limit := 2 * m.silence()
	if p != nil && p.refused {
		limit = m.silence()
	}
	heard := false
	for _, t := range m.targets {
		if t != p && m.isReachable(now, t) && t.hears(limit) {
			heard = true
		}
		if m.isReachable(now, t) && m.compareLogs(t.log(), m.maxLog) > 0 {
			m.maxLog = t.log()
			m.since[causeUnreached] = now // the log grows, so some VM writes
		}
	}
	return heard
}

// askReplicas orders probes while the primary is suspected, so that the
// replicas' answers are recent.
func (m *machine) askReplicas(now time.Time) {
	if m.attempt != nil || now.Sub(m.probed) < m.silence()/4 {
		return
	}
	m.probed = now
	for _, t := range m.targets {
		if t.ID != m.primary {
			m.do(action{kind: actProbe, target: t.ID})
		}
	}
}

// isPending reports whether a write has waited long for its confirmation.
func (m *machine) isPending(now time.Time) bool {
	return !m.pendingSince.IsZero() && now.Sub(m.pendingSince) >= m.Interval
}

// stopped counts the reachable targets that take no log of the primary, by
// answers that are not older than the given time.
func (m *machine) stopped(now, since time.Time) int {
	n := 0
	for _, t := range m.targets {
		if t.ID != m.primary && !t.answered.Before(since) && m.isReachable(now, t) && (m.silent(t) || m.fenced(t)) {
			n++
		}
	}
	return n
}

// silent reports whether the target's stream has been still for long enough.
func (m *machine) silent(t *targetState) bool {
	return t.status.HeardPrimary >= m.suspectAfter()
}

// fenced reports whether the target is claimed for a later term and follows
// nobody, an earlier primary included.
func (m *machine) fenced(t *targetState) bool {
	return t.status.ClaimedTerm > m.term && (m.silent(t) || t.status.Role == siskin.RolePrimary)
}

func (m *machine) stuck(now time.Time) bool {
	for _, t := range m.targets {
		if t.ID != m.primary && m.isReachable(now, t) && m.fenced(t) {
			return true
		}
	}
	return false
}

// successor returns the best replica for a planned change: it follows the
// primary, is not leaving and has the newest log.
func (m *machine) successor(now time.Time) *targetState {
	var best *targetState
	for _, t := range m.targets {
		ok := t.ID != m.primary && m.isReachable(now, t) && !t.status.Leaving &&
			t.status.StreamTerm == m.term && t.hears(m.suspectAfter())
		if ok && (best == nil || m.compareLogs(t.log(), best.log()) > 0) {
			best = t
		}
	}
	return best
}
