package views

import (
	"time"

	"siskintray.example/siskin"
)

// primaryChange is a change of primary in progress.
type primaryChange struct {
	from  siskin.TargetID // the former primary
	until time.Time
}

// BeginChange records that a service is being moved away from the primary from,
// until the given time. It is ignored when another target is known as the
// primary, since that change has ended.
func (v *Views) BeginChange(name siskin.ServiceName, from siskin.TargetID, until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.service(name); s.proof.Target == "" || s.proof.Target == from {
		s.change = primaryChange{from, until}
	}
}

// EndChange records the end of a change away from the primary from.
func (v *Views) EndChange(name siskin.ServiceName, from siskin.TargetID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.service(name); s.change.from == from {
		s.change = primaryChange{}
	}
}

// ChangeInProgress reports whether a change of primary is in progress.
func (v *Views) ChangeInProgress(name siskin.ServiceName, now time.Time) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s := v.services[name]
	return s != nil && now.Before(s.change.until)
}
