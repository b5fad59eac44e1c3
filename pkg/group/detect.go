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
	// causeUnreachable: this VM does not reach the primary, but replicas hear it.
	// It is acted on late and only while the log does not grow, since a growing
	// log shows that other VMs reach the primary.
	causeUnreachable
	// causeUnreplicated: the primary answers, but so many replicas have lost their
	// stream that writes cannot be confirmed.
	causeUnreplicated
	// causePrimaryFenced: the primary is claimed for a later term that nobody uses.
	causePrimaryFenced
	// causeReplicaFenced: a replica is claimed for a later term that nobody uses, so it
	// cannot follow the primary until a new term begins.
	causeReplicaFenced
	// causeLeaving: the primary is leaving and a replica can take over.
	causeLeaving
	causeCount
)

// planned reports whether the primary works, so that it is drained first.
func (c cause) planned() bool { return c == causeReplicaFenced || c == causeLeaving }

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
		if holds[c] && now.Sub(m.since[c]) >= m.debounce(c, now) {
			return c
		}
	}
	return causeNone
}

// conditions returns which causes hold at this moment.
func (m *machine) conditions(now time.Time, p *targetState) (active [causeCount]bool) {
	if !m.isReachable(now, p) || p.status.Role != siskin.RolePrimary {
		seenByReplica := m.seenByReplica(now, p)
		m.probeReplicas(now)
		active[causeDead] = !seenByReplica && m.reachableCount(now) >= m.quorum()
		active[causeUnreachable] = seenByReplica
		return active
	}
	st := p.status
	active[causePrimaryFenced] = st.ClaimedTerm > st.StreamTerm
	active[causeUnreplicated] = m.countNotReplicating(now, time.Time{}) >= m.quorum()
	active[causeReplicaFenced] = m.hasFencedReplica(now) && !st.Draining
	active[causeLeaving] = st.Leaving && m.successor(now) != nil && !st.Draining
	return active
}

// debounce returns how long a cause must hold before it is acted on.
func (m *machine) debounce(c cause, now time.Time) time.Duration {
	switch c {
	case causeDead:
		if m.primary == "" {
			return m.suspectTimeout() // the primary may not have been asked yet
		}
		return 0
	case causeUnreplicated:
		// Answers from before the pending write say nothing about it: a stream
		// that was still may have begun since.
		if m.confirmationOverdue(now) && m.countNotReplicating(now, m.pendingSince) >= m.quorum() {
			return 0
		}
		if m.fencedByQuorum() {
			return m.suspectTimeout() // writes are held; the claimer gets its time
		}
		return m.longDebounce()
	case causePrimaryFenced:
		return m.suspectTimeout()
	case causeLeaving:
		return 0
	case causeUnreachable:
		return m.unreachableDebounce(now)
	}
	return m.longDebounce()
}

// fencedByQuorum reports whether a quorum is claimed for a later term.
func (m *machine) fencedByQuorum() bool {
	n := 0
	for _, t := range m.targets {
		if t.status.ClaimedTerm > m.term {
			n++
		}
	}
	return n >= m.quorum()
}

// recentChangePeriod is the time for which a change of primary counts as recent.
const recentChangePeriod = 30 * time.Second

// unreachableDebounce returns how long the log must stand still before a primary
// that replicates is replaced. A refused connection is a clearer sign than
// silence, which may be this VM's own. Soon after a change the time is longer,
// so that two VMs that reach different targets do not take turns.
func (m *machine) unreachableDebounce(now time.Time) time.Duration {
	if m.term > 0 && !m.changedAt.IsZero() && now.Sub(m.changedAt) < recentChangePeriod {
		return min(20*m.Interval, 3*time.Second)
	}
	if p := m.target(m.primary); p != nil && p.refused {
		return m.suspectTimeout()
	}
	return min(5*m.Interval, 2*time.Second)
}

// seenByReplica reports whether a reachable replica still hears the primary. After a
// refused connection less silence is asked for than after lost answers.
func (m *machine) seenByReplica(now time.Time, p *targetState) bool {
	limit := 2 * m.heartbeatTimeout()
	if p != nil && p.refused {
		limit = m.heartbeatTimeout()
	}
	seenByReplica := false
	for _, t := range m.targets {
		if t != p && m.isReachable(now, t) && t.receivesHeartbeat(limit) {
			seenByReplica = true
		}
		if m.isReachable(now, t) && m.compareLogs(t.logPosition(), m.maxLog) > 0 {
			m.maxLog = t.logPosition()
			m.since[causeUnreachable] = now // the log grows, so some VM writes
		}
	}
	return seenByReplica
}

// probeReplicas orders probes while the primary is suspected, so that the
// replicas' answers are recent.
func (m *machine) probeReplicas(now time.Time) {
	if m.attempt != nil || now.Sub(m.suspectProbedAt) < m.heartbeatTimeout()/4 {
		return
	}
	m.suspectProbedAt = now
	for _, t := range m.targets {
		if t.ID != m.primary {
			m.emit(action{kind: actProbe, target: t.ID})
		}
	}
}

// confirmationOverdue reports whether a write has waited long for its confirmation.
func (m *machine) confirmationOverdue(now time.Time) bool {
	return !m.pendingSince.IsZero() && now.Sub(m.pendingSince) >= m.Interval
}

// countNotReplicating counts the reachable targets that take no log of the primary, by
// answers that are not older than the given time.
func (m *machine) countNotReplicating(now, since time.Time) int {
	n := 0
	for _, t := range m.targets {
		if t.ID != m.primary && !t.answeredAt.Before(since) && m.isReachable(now, t) && (m.streamStalled(t) || m.fenced(t)) {
			n++
		}
	}
	return n
}

// streamStalled reports whether the target's stream has been still for long enough.
func (m *machine) streamStalled(t *targetState) bool {
	return t.status.HeardPrimary >= m.suspectTimeout()
}

// fenced reports whether the target is claimed for a later term and follows
// nobody, an earlier primary included.
func (m *machine) fenced(t *targetState) bool {
	return t.status.ClaimedTerm > m.term && (m.streamStalled(t) || t.status.Role == siskin.RolePrimary)
}

func (m *machine) hasFencedReplica(now time.Time) bool {
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
			t.status.StreamTerm == m.term && t.receivesHeartbeat(m.suspectTimeout())
		if ok && (best == nil || m.compareLogs(t.logPosition(), best.logPosition()) > 0) {
			best = t
		}
	}
	return best
}
