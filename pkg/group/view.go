package group

import (
	"time"

	"siskintray.example/siskin"
)

// view returns a snapshot of the machine's state.
func (m *machine) view(now time.Time, s *samples) siskin.GroupView {
	v := siskin.GroupView{Term: m.term, Primary: m.primary, Targets: make([]siskin.TargetView, len(m.targets))}
	for i, t := range m.targets {
		st := t.status
		st.ID = t.ID
		v.Targets[i] = siskin.TargetView{Status: st, Reachable: m.isReachable(now, t), Staleness: -1}
		if t.hasStatus {
			v.Targets[i].Staleness = s.staleness(now, st)
		}
	}
	return v
}

// sameView reports whether the views agree in everything that Changed reports.
func sameView(a, b *siskin.GroupView) bool {
	if a.Term != b.Term || a.Primary != b.Primary || len(a.Targets) != len(b.Targets) {
		return false
	}
	for i := range a.Targets {
		x, y := &a.Targets[i], &b.Targets[i]
		if x.Reachable != y.Reachable || x.Status.Leaving != y.Status.Leaving || x.Status.Draining != y.Status.Draining {
			return false
		}
	}
	return true
}

// nextTick returns when the machine needs its next tick.
func (m *machine) nextTick(now time.Time) time.Time {
	next := now.Add(m.heartbeatTimeout() / 4)
	if m.passive {
		next = now.Add(m.heartbeatTimeout())
	}
	earliest := func(t time.Time) {
		if !t.IsZero() && t.Before(next) {
			next = t
		}
	}
	earliest(m.attemptAt)
	if a := m.attempt; a != nil {
		earliest(a.deadline)
		if !a.drainInFlight {
			earliest(a.nextStep)
		}
	}
	return next
}
