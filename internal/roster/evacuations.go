package roster

import (
	"maps"
	"slices"
	"time"

	"siskintray.example/siskin"
)

// evacuationMargin is subtracted from the time that the operator allows. It
// covers the transmission of the last statement to its target and clock skew.
const evacuationMargin = 500 * time.Millisecond

// evacuations tracks the data centres whose targets must get no more
// statements.
type evacuations struct {
	// limit is the time from the store's acknowledgement of an evacuation to
	// the last statement. It is zero where the platform has no evacuations.
	limit time.Duration
	// version is the version of the store's list, and at the time when that
	// list was current. at is zero until a list is known.
	version siskin.Version
	at      time.Time
	// since has a time just before the acknowledgement of each evacuation in
	// force, or zero if none is known.
	since map[siskin.DataCentreID]time.Time
	// endPending has the evacuations of since that were revoked, or that a
	// restored store does not list. They stay in force until a list of targets of
	// the same version shows which targets are cold, and the operator had the time
	// to write them again.
	endPending map[siskin.DataCentreID]bool
}

// ready reports whether targets may be used. Without a list, a VM that starts
// could send statements to a data centre that was evacuated long ago.
func (e *evacuations) ready() bool { return e.limit == 0 || !e.at.IsZero() }

// withEvacuated returns info with the Evacuated field set.
func (e *evacuations) withEvacuated(info siskin.TargetInfo) siskin.TargetInfo {
	_, info.Evacuated = e.since[info.DataCentre]
	return info
}

// blocked reports whether a data centre has been evacuated for so long that its
// targets must get no statements at all.
func (e *evacuations) blocked(dc siskin.DataCentreID, now time.Time) bool {
	if !e.ready() {
		return true
	}
	since, ok := e.since[dc]
	return ok && now.Sub(since) >= e.limit-evacuationMargin
}

// replace applies a list that was current at the given time, and reports
// whether it changes the evacuations in force. targets is the version of the
// list of targets, and restored is set while the list may come from an older copy
// of the store.
func (e *evacuations) replace(list []siskin.DataCentreID, version, targets siskin.Version, at time.Time, restored bool) bool {
	if e.limit == 0 || version < e.version {
		return false
	}
	before, first := e.at, e.at.IsZero()
	if at.After(e.at) {
		e.at = at
	}
	if version == e.version && !first {
		return false
	}
	e.version = version
	next := make(map[siskin.DataCentreID]time.Time, len(list))
	for _, dc := range list {
		since, ok := e.since[dc]
		if !ok {
			since = before
		}
		next[dc] = since
	}
	e.endPending = make(map[siskin.DataCentreID]bool)
	for dc, since := range e.since {
		if _, ok := next[dc]; !ok && (restored || targets < version) {
			next[dc], e.endPending[dc] = since, true
		}
	}
	differs := first || !maps.Equal(next, e.since)
	e.since = next
	return differs
}

// finishPending ends the evacuations that waited for their end, if the given
// version of the list of targets is recent enough and does not come from an older
// copy of the store. It reports whether there were any.
func (e *evacuations) finishPending(targets siskin.Version, restored bool) bool {
	if len(e.endPending) == 0 || targets < e.version || restored {
		return false
	}
	maps.DeleteFunc(e.since, func(dc siskin.DataCentreID, _ time.Time) bool { return e.endPending[dc] })
	e.endPending = nil
	return true
}

// RequireEvacuations makes the roster return no targets until a list of
// evacuations is known. limit is the time from the acknowledgement of an
// evacuation to the last statement. It must be called before the first list.
func (r *Roster) RequireEvacuations(limit time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evac.limit = limit
}

// ReplaceEvacuations applies a version of the store's list of evacuated data
// centres that was current at the given time. It ignores older versions.
func (r *Roster) ReplaceEvacuations(list []siskin.DataCentreID, version siskin.Version, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeEra(version, at)
	if r.evac.replace(list, version, r.version, at, r.restoredRecently(at)) {
		r.publish()
	}
}

// ConfirmEvacuations records that the last list was still current at the given
// time, if the store's version is the one of that list. It reports whether it
// is.
func (r *Roster) ConfirmEvacuations(version siskin.Version, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evac.at.IsZero() || version != r.evac.version {
		return false
	}
	if at.After(r.evac.at) {
		r.evac.at = at
	}
	return true
}

// Evacuations returns the evacuated data centres, the version of their list,
// and the time when it was last current, which is zero until a list is known.
func (r *Roster) Evacuations() ([]siskin.DataCentreID, siskin.Version, time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := slices.Sorted(maps.Keys(r.evac.since))
	list = slices.DeleteFunc(list, func(dc siskin.DataCentreID) bool { return r.evac.endPending[dc] })
	return list, r.evac.version, r.evac.at
}

// Blocked reports whether a target must get no statements at all because its
// data centre is evacuated.
func (r *Roster) Blocked(id siskin.TargetID, now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e, ok := r.targets[id]
	return ok && r.evac.blocked(e.info.DataCentre, now)
}

// Ready reports whether targets are listed and may be used.
func (r *Roster) Ready() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.version > 0 && r.evac.ready()
}
