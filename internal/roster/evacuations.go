package roster

import (
	"maps"
	"slices"
	"time"

	"siskintray.example/siskin"
)

// evacuationMargin is taken off the time that the operator allows, for the way of
// the last statement to its target and for clocks that run apart.
const evacuationMargin = 500 * time.Millisecond

// evacuations are the data centres to whose targets nothing more is to be sent.
type evacuations struct {
	// limit is the time from the store's acknowledgement of an evacuation to the
	// last statement, zero where the platform has no evacuations.
	limit time.Duration
	// version is that of the store's list, which was current at the time at; at is
	// zero until a list is known.
	version siskin.Version
	at      time.Time
	// since holds for each evacuation in force a moment before its
	// acknowledgement, zero when none is known.
	since map[siskin.DataCentreID]time.Time
	// endPending are those of since that were taken back, and stay in force until a list
	// of targets of that version says which of them are cold.
	endPending map[siskin.DataCentreID]bool
}

// ready reports whether a target may be used. A VM that starts could otherwise
// send statements to a data centre that was evacuated long ago.
func (e *evacuations) ready() bool { return e.limit == 0 || !e.at.IsZero() }

// withEvacuated returns what is known of a target with its evacuation.
func (e *evacuations) withEvacuated(info siskin.TargetInfo) siskin.TargetInfo {
	_, info.Evacuated = e.since[info.DataCentre]
	return info
}

// blocked reports whether a data centre has been evacuated for so long that its
// targets must get no statement at all.
func (e *evacuations) blocked(dc siskin.DataCentreID, now time.Time) bool {
	if !e.ready() {
		return true
	}
	since, ok := e.since[dc]
	return ok && now.Sub(since) >= e.limit-evacuationMargin
}

// replace takes over a list that was current at a time, and reports whether it
// changes what is in force. The list of targets is of the version targets.
func (e *evacuations) replace(list []siskin.DataCentreID, version, targets siskin.Version, at time.Time) bool {
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
		if _, ok := next[dc]; !ok && targets < version {
			next[dc], e.endPending[dc] = since, true
		}
	}
	differs := first || !maps.Equal(next, e.since)
	e.since = next
	return differs
}

// finishPending ends the evacuations that were held back for a list of targets, once there
// is one of the given version. It reports whether there were any.
func (e *evacuations) finishPending(targets siskin.Version) bool {
	if len(e.endPending) == 0 || targets < e.version {
		return false
	}
	maps.DeleteFunc(e.since, func(dc siskin.DataCentreID, _ time.Time) bool { return e.endPending[dc] })
	e.endPending = nil
	return true
}

// RequireEvacuations makes the roster name no target until a list of evacuations is
// known, and sets the time from the acknowledgement of one to the last statement.
// It is called before the first list.
func (r *Roster) RequireEvacuations(limit time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evac.limit = limit
}

// ReplaceEvacuations applies the list of evacuated data centres of a version of the store,
// which was current at a time. Older lists change nothing.
func (r *Roster) ReplaceEvacuations(list []siskin.DataCentreID, version siskin.Version, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evac.replace(list, version, r.version, at) {
		r.publish()
	}
}

// ConfirmEvacuations notes that the last list was still current at a time when the
// store's version was the given one. It reports whether that was its version.
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

// Evacuations returns the evacuated data centres, the version of their list, and
// when it was last current; that is zero until a list is known.
func (r *Roster) Evacuations() ([]siskin.DataCentreID, siskin.Version, time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := slices.Sorted(maps.Keys(r.evac.since))
	list = slices.DeleteFunc(list, func(dc siskin.DataCentreID) bool { return r.evac.endPending[dc] })
	return list, r.evac.version, r.evac.at
}

// Blocked reports whether a target must get no statement at all, since its data
// centre is evacuated.
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
