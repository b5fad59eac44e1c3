package views

import (
	"time"

	"siskintray.example/siskin"
)

// primaryChange is a change of primary in progress.
type primaryChange struct {
	from  siskin.TargetID // the target that led before
	until time.Time
}

// BeginChange notes that the lead is being taken from a target, until the given time. A
// VM that knows another target to lead has seen the end of that change.
func (v *Views) BeginChange(name siskin.ServiceName, from siskin.TargetID, until time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s := v.service(name); s.proof.Target == "" || s.proof.Target == from {
		s.change = primaryChange{from, until}
	}
}

// EndChange ends the hold of a change that took the lead from a target.
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
