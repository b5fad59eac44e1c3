package group

import (
	"time"
)

// rejoin orders targets that do not replicate in the primary's term to follow
// it, including a replaced primary. The VM that promoted the primary acts
// immediately; the others wait two intervals, in case that VM has failed.
func (m *machine) rejoin(now time.Time) {
	if m.primary == "" || m.attempt != nil {
		return
	}
	grace := 2 * m.Interval
	if m.promotedHere {
		grace = 0
	}
	if now.Sub(m.adoptedAt) < grace {
		return
	}
	p := m.target(m.primary)
	for _, t := range m.targets {
		if t != p && m.isReachable(now, t) && m.needsFollow(t) && now.Sub(t.followOrderedAt) >= 2*m.Interval {
			t.followOrderedAt = now
			m.emit(action{kind: actFollow, target: t.ID, primary: p.ID, address: p.Address, term: m.term})
		}
	}
}

// needsFollow reports whether the target does not replicate in the primary's
// term yet and can do so.
func (m *machine) needsFollow(t *targetState) bool {
	st := t.status
	if st.ClaimedTerm > m.term {
		return false // it would refuse the order
	}
	return st.StreamTerm < m.term
}
