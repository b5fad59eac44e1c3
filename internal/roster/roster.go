// Package roster holds what service discovery says of the targets.
//
// Entries may lapse while the store is away, and be back within two seconds of
// its return. A target therefore counts as gone when its entry is missing from
// lists that lie further apart than that; until then it is kept.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// renewalGrace is the time that a target has to renew its entry after an outage of
// the store. The platform states about two seconds.
const renewalGrace = 2500 * time.Millisecond

// Roster holds the known targets. It is safe for concurrent use.
type Roster struct {
	mu       sync.RWMutex
	targets  map[siskin.TargetID]*entry
	services map[siskin.ServiceName][]siskin.TargetInfo // derived, never modified
	sizes    map[siskin.ServiceName]*size
	// pendingCounts are the present numbers of targets that differ from the sizes.
	pendingCounts map[siskin.ServiceName]int
	version       siskin.Version // of the last list
	listed        time.Time      // when the last list was asked for
	// gapStart and gapEnd are the ends of the last gap between two lists.
	gapStart, gapEnd time.Time
	evac             evacuations
	changed          chan struct{}
}

type entry struct {
	info          siskin.TargetInfo
	since         time.Time // first list with this run of the target
	first         bool      // the first list of all had it
	missingSince  time.Time // first list without the entry; zero while it is there
	drainingSince time.Time // first list that says so; zero while it does not
	coldUntil     time.Time // until when it may be cold; zero when it is not
}

// drainGrace is the time after which a draining target gets no new work. The
// users allow 7 s from the store's answer, of which a list takes up to two.
const drainGrace = 4500 * time.Millisecond

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		targets: make(map[siskin.TargetID]*entry), sizes: make(map[siskin.ServiceName]*size),
		pendingCounts: make(map[siskin.ServiceName]int), changed: make(chan struct{}),
	}
}

// Service returns the targets of a service ordered by id. The caller must not
// modify the slice.
func (r *Roster) Service(name siskin.ServiceName) []siskin.TargetInfo {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[name]
}

// Target returns one target.
func (r *Roster) Target(id siskin.TargetID) (siskin.TargetInfo, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e, ok := r.targets[id]
	if !ok || !r.evac.ready() {
		return siskin.TargetInfo{}, false
	}
	return r.evac.withEvacuated(e.info), true
}

// ListedSince returns the time of the first list with the present run of a target and that
// of the last list. With first the run is older than what this VM has seen. The result
// ok is false when the last list lacks the target.
func (r *Roster) ListedSince(id siskin.TargetID) (since, listed time.Time, first, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e, ok := r.targets[id]
	if !ok || !e.missingSince.IsZero() {
		return time.Time{}, time.Time{}, false, false
	}
	return e.since, r.listed, e.first, true
}

// Leaving reports whether a target has been draining or evacuated for so long
// that it must get no new work. Leaving targets take it until then only as
// primaries, while their successor is elected.
func (r *Roster) Leaving(id siskin.TargetID, now time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e, ok := r.targets[id]
	return !ok || !e.drainingSince.IsZero() && now.Sub(e.drainingSince) > drainGrace || r.evac.blocked(e.info.DataCentre, now)
}

// Listed returns the targets of the last list, ordered by id, with its version
// and time.
func (r *Roster) Listed() ([]siskin.TargetInfo, siskin.Version, time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]siskin.TargetInfo, 0, len(r.targets))
	for _, e := range r.targets {
		if e.missingSince.IsZero() {
			list = append(list, e.info)
		}
	}
	slices.SortFunc(list, byID)
	return list, r.version, r.listed
}

func byID(a, b siskin.TargetInfo) int { return cmp.Compare(a.ID, b.ID) }

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// Version returns the version of the last list and when it was asked for.
func (r *Roster) Version() (siskin.Version, time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.version, r.listed
}

// Replace applies a complete list that was asked for at a time. Older lists
// than the last one change nothing.
func (r *Roster) Replace(list []siskin.TargetInfo, version siskin.Version, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < r.version || !at.After(r.listed) {
		return
	}
	r.recordGap(at)
	first := r.listed.IsZero()
	r.version, r.listed = version, at
	any := false
	listed := make(map[siskin.TargetID]bool, len(list))
	for _, info := range list {
		info.Evacuated = false // derived from what this VM knows
		listed[info.ID] = true
		e := r.targets[info.ID]
		if e != nil && e.info == info && e.missingSince.IsZero() {
			continue
		}
		next := &entry{info: info}
		if next.since, next.first = at, first; e != nil && e.missingSince.IsZero() && e.info.Address == info.Address && e.info.StartedAt.Equal(info.StartedAt) {
			next.since, next.first = e.since, e.first
		}
		if info.Draining {
			if next.drainingSince = at; e != nil && !e.drainingSince.IsZero() {
				next.drainingSince = e.drainingSince
			}
		}
		if info.ColdRemaining > 0 {
			next.coldUntil = at.Add(info.ColdRemaining + coldMargin)
		}
		r.targets[info.ID] = next
		any = true
	}
	for id, e := range r.targets {
		if !listed[id] && e.missingSince.IsZero() {
			e.missingSince = at
		}
	}
	r.countTargets(at)
	released := r.evac.finishPending(version)
	if r.removeMissing(at) || any || released {
		r.publish()
	}
}

// Confirm notes that the last list was still current at a time.
func (r *Roster) Confirm(version siskin.Version, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version == r.version && at.After(r.listed) {
		r.recordGap(at)
		r.listed = at
		r.updateSizes(at)
		if r.removeMissing(at) {
			r.publish()
		}
	}
}

// removeMissing removes the targets whose entries stayed missing.
func (r *Roster) removeMissing(at time.Time) bool {
	any := false
	for id, e := range r.targets {
		if !e.missingSince.IsZero() && at.Sub(e.missingSince) > renewalGrace {
			delete(r.targets, id)
			any = true
		}
	}
	return any
}

func (r *Roster) publish() {
	r.services = make(map[siskin.ServiceName][]siskin.TargetInfo)
	for _, e := range r.targets {
		if r.evac.ready() {
			r.services[e.info.Service] = append(r.services[e.info.Service], r.evac.withEvacuated(e.info))
		}
	}
	for _, list := range r.services {
		slices.SortFunc(list, byID)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}
