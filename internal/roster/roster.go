// Package roster holds what service discovery says of the targets.
//
// While the store is away all known targets are kept, since their entries may
// lapse without the targets being gone. After the store's return an entry that
// is missing counts as gone when it stays missing for the settle time.
package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// settle is the time that a target has to renew its entry after an outage of
// the store. The platform states about two seconds.
const settle = 2500 * time.Millisecond

// Roster holds the known targets. It is safe for concurrent use.
type Roster struct {
	clock siskin.Clock

	mu       sync.RWMutex
	targets  map[siskin.TargetID]*entry
	services map[siskin.ServiceName][]siskin.TargetInfo // derived, never modified
	heard    time.Time                                  // last answer of the store, own or through a peer
	listed   time.Time                                  // when the last complete list was asked for
	returned time.Time                                  // last return of the store after an outage
	changed  chan struct{}
}

type entry struct {
	info    siskin.TargetInfo
	missing time.Time // since when the entry is missing; zero while it is there
}

// New returns an empty roster.
func New(clock siskin.Clock) *Roster {
	return &Roster{clock: clock, targets: make(map[siskin.TargetID]*entry), changed: make(chan struct{})}
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
	if !ok {
		return siskin.TargetInfo{}, false
	}
	return e.info, true
}

// All returns all targets ordered by id.
func (r *Roster) All() []siskin.TargetInfo {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make([]siskin.TargetInfo, 0, len(r.targets))
	for _, e := range r.targets {
		all = append(all, e.info)
	}
	slices.SortFunc(all, byID)
	return all
}

func byID(a, b siskin.TargetInfo) int { return cmp.Compare(a.ID, b.ID) }

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// Heard returns when the store was last known to answer.
func (r *Roster) Heard() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.heard
}

// Replace applies a complete list that was read at the given time.
func (r *Roster) Replace(list []siskin.TargetInfo, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Before(r.listed) {
		return // a peer's list that is older than the one known
	}
	r.listed = at
	if at.After(r.heard) {
		r.heard = at
	}
	listed := make(map[siskin.TargetID]bool, len(list))
	for _, info := range list {
		listed[info.ID] = true
		r.targets[info.ID] = &entry{info: info}
	}
	for id, e := range r.targets {
		if !listed[id] && e.missing.IsZero() {
			e.missing = r.clock.Now()
		}
	}
	r.sweep()
	r.publish()
}

// Put applies the entry of one target.
func (r *Roster) Put(info siskin.TargetInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets[info.ID] = &entry{info: info}
	r.publish()
}

// Remove notes that the entry of a target was removed.
func (r *Roster) Remove(id siskin.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.targets[id]
	if !ok || !e.missing.IsZero() {
		return
	}
	e.missing = r.clock.Now()
	r.sweep()
	r.publish()
}

// Touch notes that the store answered at the given time; back says that it
// had been away.
func (r *Roster) Touch(at time.Time, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.heard) {
		r.heard = at
	}
	if back {
		r.returned = at
	}
}

// Sweep removes the targets whose entries are missing for good.
func (r *Roster) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sweep() {
		r.publish()
	}
}

func (r *Roster) sweep() bool {
	now, any := r.clock.Now(), false
	for id, e := range r.targets {
		if e.missing.IsZero() {
			continue
		}
		recentOutage := !r.returned.IsZero() && now.Sub(r.returned) < settle
		if recentOutage || r.away(now) {
			continue
		}
		delete(r.targets, id)
		any = true
	}
	return any
}

// away reports whether the store has not been heard for longer than a waiting
// watch lasts, so that the absence of entries proves nothing.
func (r *Roster) away(now time.Time) bool { return now.Sub(r.heard) > storeSilence }

// storeSilence is longer than the longest wait of a watch (20 s) and its
// timeout, in which a store that answers may say nothing.
const storeSilence = 25 * time.Second

func (r *Roster) publish() {
	r.services = make(map[siskin.ServiceName][]siskin.TargetInfo)
	for _, e := range r.targets {
		r.services[e.info.Service] = append(r.services[e.info.Service], e.info)
	}
	for _, list := range r.services {
		slices.SortFunc(list, byID)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}
