package group

import (
	"time"

	"siskintray.example/siskin"
)

// cause is a reason to change the primary.
type cause int

const (
	causeNone cause = iota
	// causeDead: this VM cannot reach the primary and no replica receives its
	// heartbeat.
	causeDead
	// causeUnreachable: this VM cannot reach the primary, but replicas receive
	// its heartbeat. The machine acts on it late, and only while the log does
	// not grow, since a growing log shows that other VMs reach the primary.
	causeUnreachable
	// causeUnreplicated: the primary answers, but too few replicas receive its
	// stream to confirm writes.
	causeUnreplicated
	// causePrimaryFenced: the primary is claimed for a later term that has no
	// primary.
	causePrimaryFenced
	// causeReplicaFenced: a replica is claimed for a later term that has no
	// primary, so it cannot follow the primary until a new term begins.
	causeReplicaFenced
	// causeLeaving: the primary is leaving and a replica can be promoted.
	causeLeaving
	causeCount
)

// planned reports whether the primary is healthy, so that it is drained first.
func (c cause) planned() bool { return c == causeReplicaFenced || c == causeLeaving }

// detect returns the most urgent cause that has persisted for its debounce
// time.
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

// conditions returns which causes apply at the moment.
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

// debounce returns how long a cause must persist before the machine acts on it.
func (m *machine) debounce(c cause, now time.Time) time.Duration {
	switch c {
	case causeDead:
		if m.primary == "" {
			return m.suspectTimeout() // the primary may not have been probed yet
		}
		return 0
	case causeUnreplicated:
		// Statuses from before the pending write do not show that it cannot be
		// confirmed: an idle stream may have started since.
		if m.confirmationOverdue(now) && m.countNotReplicating(now, m.pendingSince) >= m.quorum() {
			return 0
		}
		if m.fencedByQuorum() {
			return m.suspectTimeout() // writes are held; the VM that claimed needs time to promote
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

// fencedByQuorum reports whether a quorum of targets is claimed for a later
// term.
func (m *machine) fencedByQuorum() bool {
	n := 0
	for _, t := range m.targets {
		if t.status.ClaimedTerm > m.term {
			n++
		}
	}
	return n >= m.quorum()
}

// recentChangePeriod is the time for which a change of primary counts as
// recent.
const recentChangePeriod = 30 * time.Second

// unreachableDebounce returns how long the log must not grow before a primary
// that still replicates is replaced. A refused connection is stronger evidence
// than unanswered probes, which a fault of this VM can cause. Soon after a
// change the time is longer, so that two VMs that reach different targets do
// not replace each other's primary in turn.
func (m *machine) unreachableDebounce(now time.Time) time.Duration {
	if m.term > 0 && !m.changedAt.IsZero() && now.Sub(m.changedAt) < recentChangePeriod {
		return min(20*m.Interval, 3*time.Second)
	}
	if p := m.target(m.primary); p != nil && p.refused {
		return m.suspectTimeout()
	}
	return min(5*m.Interval, 2*time.Second)
}

// seenByReplica reports whether a reachable replica still receives the
// primary's heartbeat. The timeout is shorter after a refused connection than
// after unanswered probes. A log that has grown restarts the debounce time of
// causeUnreachable.
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
			m.since[causeUnreachable] = now // the log grows, so some VM can write
		}
	}
	return seenByReplica
}

// probeReplicas probes the replicas while the primary is suspected, so that
// their statuses are recent.
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

// confirmationOverdue reports whether a write has waited at least one probe
// interval for its confirmation.
func (m *machine) confirmationOverdue(now time.Time) bool {
	return !m.pendingSince.IsZero() && now.Sub(m.pendingSince) >= m.Interval
}

// countNotReplicating returns the number of reachable targets that receive no
// log from the primary, by statuses that are not older than since.
func (m *machine) countNotReplicating(now, since time.Time) int {
	n := 0
	for _, t := range m.targets {
		if t.ID != m.primary && !t.answeredAt.Before(since) && m.isReachable(now, t) && (m.streamStalled(t) || m.fenced(t)) {
			n++
		}
	}
	return n
}

// streamStalled reports whether the target has received nothing from its
// primary for suspectTimeout.
func (m *machine) streamStalled(t *targetState) bool {
	return t.status.HeardPrimary >= m.suspectTimeout()
}

// fenced reports whether the target is claimed for a later term and follows no
// primary. It can be an earlier primary.
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
