package views

import (
	"time"

	"siskintray.example/siskin"
)

// RecordPosition records a position that a target reported.
func (v *Views) RecordPosition(id siskin.TargetID, p siskin.Position, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.target(id)
	if at.After(t.At) && !p.IsZero() {
		t.Position, t.At = p, at
	}
}

// RecordLoad records the number of statements at a target's home.
func (v *Views) RecordLoad(id siskin.TargetID, load int, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.target(id); at.After(t.LoadAt) {
		t.Load, t.LoadAt = load, at
	}
}

// RecordLag records that a target had not reached the floor of a read.
func (v *Views) RecordLag(id siskin.TargetID, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.target(id).LaggedAt = at
}

// ClearLag records that a target had reached the floor of a read.
func (v *Views) ClearLag(id siskin.TargetID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.target(id).LaggedAt = time.Time{}
}

// RecordSuccess resets the count of consecutive failures of a target.
func (v *Views) RecordSuccess(id siskin.TargetID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.target(id).Failures = 0
}

// RecordFailure records a failure of a target at the given time.
func (v *Views) RecordFailure(id siskin.TargetID, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.target(id)
	t.FailedAt = at
	t.Failures++
}

// Target returns the last known state of a target, or the zero value.
func (v *Views) Target(id siskin.TargetID) Target {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if t := v.targets[id]; t != nil {
		return *t
	}
	return Target{}
}
