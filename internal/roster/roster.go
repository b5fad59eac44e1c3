// Package roster keeps the list of targets from service discovery.
//
// Entries may expire during an outage of the store, and targets write them
// again within two seconds of its return. A target is therefore removed only
// when its entry is missing from lists that span more than that time.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// renewalGrace is the time that a target has to renew its entry after an outage
// of the store. The platform specifies about two seconds.
const renewalGrace = 2500 * time.Millisecond

// Roster holds the known targets. It is safe for concurrent use.
type Roster struct {
	mu       sync.RWMutex
	targets  map[siskin.TargetID]*entry
	services map[siskin.ServiceName][]siskin.TargetInfo // derived, never modified
	sizes    map[siskin.ServiceName]*size
	// pendingCounts has the present number of targets of each service where it
	// differs from the size.
	pendingCounts map[siskin.ServiceName]int
	sizesKnown    bool // from the store or a peer
	departures    map[siskin.TargetID]*departure
	peaks         map[siskin.ServiceName]int // see updatePeaks
	version       siskin.Version             // of the last list
	listed        time.Time                  // when the last list was requested
	// gapStart and gapEnd are the start and end of the last gap between two
	// lists.
	gapStart, gapEnd time.Time
	restoredAt       time.Time // first list of the era; zero for the first era known
	evac             evacuations
	changed          chan struct{}
}

type entry struct {
	info          siskin.TargetInfo
	since         time.Time // first list with this run of the target
	first         bool      // the run was in the first list after the start of this VM
	missingSince  time.Time // first list without the entry; zero while it is listed
	drainingSince time.Time // first list in which it drains; zero while it doesn't
	coldUntil     time.Time // time until which it may be cold; zero if it is warm
}

// drainGrace is the time after which a draining target gets no new work. The
// requirement allows 7 s from the store's answer, of which a list takes up to
// two.
const drainGrace = 4500 * time.Millisecond

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		targets: make(map[siskin.TargetID]*entry), sizes: make(map[siskin.ServiceName]*size),
		pendingCounts: make(map[siskin.ServiceName]int), departures: make(map[siskin.TargetID]*departure),
		peaks: make(map[siskin.ServiceName]int), changed: make(chan struct{}),
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

// ListedSince returns the time of the first list with the present run of a
// target and the time of the last list. first is set when the run was in the
// first list of this VM, so that it may have started earlier. ok is false when
// the target is missing from the last list.
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
// that it must get no new work. Before that, a draining or evacuated target
// gets new work only as a primary whose successor is being elected.
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

// Version returns the version of the last list and the time when it was
// requested.
func (r *Roster) Version() (siskin.Version, time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.version, r.listed
}

// Replace applies a complete list that was requested at the given time. It
// ignores lists that are older than the last one, and reports whether it applied
// this one.
func (r *Roster) Replace(list []siskin.TargetInfo, version siskin.Version, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < r.version || !at.After(r.listed) {
		return false
	}
	r.recordGap(at)
	r.observeEra(version, at)
	first := r.listed.IsZero()
	r.version, r.listed = version, at
	changed := false
	listed := make(map[siskin.TargetID]bool, len(list))
	for _, info := range list {
		info = r.newestOf(info, at)
		info.Evacuated = false // set from the known evacuations instead
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
		changed = true
	}
	for id, e := range r.targets {
		if !listed[id] && e.missingSince.IsZero() {
			e.missingSince = at
		}
	}
	r.countTargets(at)
	r.trackDepartures(at)
	released := r.evac.finishPending(version, r.restoredRecently(at))
	if r.removeMissing(at) || changed || released {
		r.publish()
	}
	return true
}

// Confirm records that the last list was still current at the given time.
func (r *Roster) Confirm(version siskin.Version, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version == r.version && at.After(r.listed) {
		r.recordGap(at)
		r.listed = at
		r.updateSizes(at)
		r.expireDepartures(at)
		r.updatePeaks()
		released := r.evac.finishPending(version, r.restoredRecently(at))
		if r.removeMissing(at) || released {
			r.publish()
		}
	}
}

// removeMissing removes the targets whose entries have been missing for longer
// than renewalGrace, and reports whether there were any. The caller holds mu.
func (r *Roster) removeMissing(at time.Time) bool {
	removed := false
	for id, e := range r.targets {
		if !e.missingSince.IsZero() && at.Sub(e.missingSince) > renewalGrace {
			delete(r.targets, id)
			removed = true
			r.trackVanished(id, e, at)
		}
	}
	if removed {
		r.updatePeaks()
	}
	return removed
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
