package group

import (
	"time"

	"siskintray.example/siskin"
)

// beginClaim claims the targets for a term above the highest claim seen.
func (m *machine) beginClaim(now time.Time) {
	a := m.attempt
	a.phase = phaseClaim
	a.term = max(m.maxClaim, m.term) + 1
	m.maxClaim = a.term // a claim may be in effect although its answer is lost
	a.deadline = now.Add(m.suspectTimeout())
	for _, t := range m.targets {
		if t.ID != a.lastResort {
			m.sendClaim(t)
		}
	}
	m.claimLastResort(now)
}

func (m *machine) sendClaim(t *targetState) {
	m.attempt.claimSent[t.ID] = true
	c := action{kind: actClaim, target: t.ID, attempt: m.attempt.number, term: m.attempt.term}
	if p := m.target(m.attempt.lastResort); p != nil && !p.refused && m.attempt.unresponsive {
		c.unresponsive = p.ID
	}
	m.emit(c)
}

// claimLastResort claims the last-resort target if the others cannot form a
// quorum.
func (m *machine) claimLastResort(now time.Time) {
	a := m.attempt
	t := m.target(a.lastResort)
	if t == nil || a.claimSent[t.ID] {
		return
	}
	possible := 0
	for _, other := range m.targets {
		if other != t && !a.claimFailed[other.ID] && m.isReachable(now, other) {
			possible++
		}
	}
	if possible < m.quorum() && m.isReachable(now, t) {
		m.sendClaim(t)
	}
}

// handleClaimAnswer handles the answer to a claim.
func (m *machine) handleClaimAnswer(now time.Time, e event) {
	a := m.attempt
	if a == nil || a.number != e.attempt || a.phase != phaseClaim {
		return
	}
	if !e.ok {
		a.claimFailed[e.target] = true
		m.claimLastResort(now)
		m.checkClaimsSuffice(now)
		return
	}
	a.grants[e.target] = e.status
	_, hasPreferred := a.grants[a.preferred]
	if len(a.grants) >= m.claimsNeeded() && (!a.planned || hasPreferred) {
		m.promoteBest(now)
	}
}

// checkClaimsSuffice ends an attempt as soon as it can no longer obtain enough
// claims.
func (m *machine) checkClaimsSuffice(now time.Time) {
	a := m.attempt
	open := len(a.claimSent) - len(a.claimFailed) - len(a.grants)
	if len(a.grants)+open >= m.claimsNeeded() {
		return
	}
	if !a.force {
		m.fail(now, errAttemptExpired(m.Service, a.phase, len(a.grants), m.quorum()))
	} else if open == 0 {
		m.handleDeadline(now)
	}
}

func (m *machine) claimsNeeded() int {
	if m.quorumOverride > 0 {
		return m.quorumOverride
	}
	return m.quorum()
}

// promoteBest promotes the claimed target with the newest log. Logs are
// compared by the term of the last record, then by position. The claimed term
// does not count, since a claim adds nothing to the log.
func (m *machine) promoteBest(now time.Time) {
	a := m.attempt
	var best *targetState
	for _, t := range m.targets {
		if st, ok := a.grants[t.ID]; ok && (best == nil || m.isBetterCandidate(st, a.grants[best.ID])) {
			best = t
		}
	}
	quorumHeld.Check(a.force || len(a.grants) >= m.claimsNeeded(), "group %s: promotion to term %d with %d claims", m.Service, a.term, len(a.grants))
	for _, st := range a.grants {
		newestLog.Check(m.compareLogs(logEnd(a.grants[best.ID]), logEnd(st)) >= 0, "group %s: %s has a newer log than %s", m.Service, st.ID, best.ID)
	}
	a.phase = phasePromote
	a.deadline = now.Add(m.suspectTimeout())
	m.emit(action{kind: actPromote, target: best.ID, attempt: a.number, term: a.term})
}

// isBetterCandidate reports whether a is to be promoted rather than b. Among
// equal logs the preferred target wins, then one that is not leaving.
func (m *machine) isBetterCandidate(a, b siskin.TargetStatus) bool {
	if c := m.compareLogs(logEnd(a), logEnd(b)); c != 0 {
		return c > 0
	}
	if w := m.attempt.preferred; w != "" && (a.ID == w) != (b.ID == w) {
		return a.ID == w
	}
	return !a.Leaving && b.Leaving
}

// handlePromoteAnswer handles the answer to a promotion. A promotion may have
// taken effect although its answer was lost; a probe shows whether it has.
func (m *machine) handlePromoteAnswer(now time.Time, e event) {
	a := m.attempt
	if a == nil || a.number != e.attempt {
		return // a successful promotion has been adopted from its status
	}
	m.emit(action{kind: actProbe, target: e.target})
	if e.conflict || a.phase != phasePromote {
		m.fail(now, errOtherVM(e.status.ClaimedTerm))
		return
	}
	// Wait for the result of the probe; claiming again would only delay the
	// change.
	a.deadline = now.Add(m.Interval)
}
