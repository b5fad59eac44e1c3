package group

import (
	"time"
)

// rejoin orders targets that are not in the primary's stream to follow it, a
// replaced primary included. The VM that promoted acts at once, the others
// when an order seems to be missing.
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

// needsFollow reports whether the target is not in the stream of the primary's term
// and may join it.
func (m *machine) needsFollow(t *targetState) bool {
	st := t.status
	if st.ClaimedTerm > m.term {
		return false // it would refuse
	}
	return st.StreamTerm < m.term
}
