package roster

import (
	"cmp"
	"slices"
	"time"

	"siskintray.example/siskin"
)

const (
	// departureNoticeDelay is the time after which no VM whose list is current
	// counts a draining target any more. It exceeds currentListAge because the
	// rates of two clocks may differ.
	departureNoticeDelay = currentListAge + currentListAge/11
	// outdatedNoticeDelay is the same for VMs whose list is outdated.
	outdatedNoticeDelay = usableListAge + usableListAge/11
	// departureLinger is the time for which a target that has left service
	// discovery may still be running and acknowledge commits.
	departureLinger = 30 * time.Second
)

// departure is a target that drains or has drained, or has vanished from service
// discovery. Until the staying replicas are known to have its commits, it may be
// the only replica that has some of them.
type departure struct {
	service siskin.ServiceName
	since   time.Time // first list in which it drains, or without it
	goneAt  time.Time // first list without it; zero while it is listed
	// covered reports that the staying targets have every commit that this one
	// has acknowledged alone.
	covered bool
}

// trackDepartures updates the departures from a list that was requested at the
// given time. The caller holds mu.
func (r *Roster) trackDepartures(at time.Time) {
	for id, e := range r.targets {
		d := r.departures[id]
		switch {
		case !e.missingSince.IsZero():
		case !e.info.Draining:
			delete(r.departures, id) // a new run under the same id
		case d == nil:
			r.departures[id] = &departure{service: e.info.Service, since: at}
		default:
			d.goneAt = time.Time{}
		}
	}
	for id, d := range r.departures {
		if e := r.targets[id]; d.goneAt.IsZero() && (e == nil || !e.missingSince.IsZero()) {
			d.goneAt = at
		}
	}
	r.expireDepartures(at)
	r.updatePeaks()
}

// trackVanished makes a replica that service discovery has dropped a departure. It
// may have drained during an outage of the store, and its successor is listed in
// its place. The caller holds mu.
func (r *Roster) trackVanished(id siskin.TargetID, e *entry, at time.Time) {
	if r.departures[id] == nil && !e.info.Primary && at.Sub(e.missingSince) < shrinkDelay {
		r.departures[id] = &departure{service: e.info.Service, since: e.missingSince, goneAt: e.missingSince}
	}
}

// expireDepartures removes the departures of targets that left long ago. One
// that is not covered expires as a missing target does, so that a group whose
// primary has left as well is not blocked for good. The caller holds mu.
func (r *Roster) expireDepartures(at time.Time) {
	for id, d := range r.departures {
		limit := shrinkDelay
		if d.covered {
			limit = departureLinger
		}
		if !d.goneAt.IsZero() && at.Sub(d.goneAt) >= limit {
			delete(r.departures, id)
		}
	}
}

// updatePeaks records for each service with an uncovered departure the largest
// number of its staying and uncovered targets so far, so that another target
// that is dropped meanwhile still counts. The caller holds mu.
func (r *Roster) updatePeaks() {
	uncovered := make(map[siskin.ServiceName]int)
	for _, d := range r.departures {
		if !d.covered {
			uncovered[d.service]++
		}
	}
	for name := range r.peaks {
		if uncovered[name] == 0 {
			delete(r.peaks, name)
		}
	}
	for name, n := range uncovered {
		r.peaks[name] = max(r.peaks[name], n+r.countListed(name))
	}
}

// Uncovered reports whether a service has departures that CoverDepartures would
// cover at the given time.
func (r *Roster) Uncovered(name siskin.ServiceName, at time.Time) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, d := range r.departures {
		if d.service == name && !d.covered && at.Sub(d.since) >= departureNoticeDelay {
			return true
		}
	}
	return false
}

// CoverDepartures records that the staying replicas have every commit that the
// given primary had acknowledged at a moment after asked. It returns the
// targets that this covers: those known to drain for long enough that all VMs
// whose list is current require the staying replicas for later commits. A
// primary that drains itself covers none, since it is one of the targets that
// have the commits.
func (r *Roster) CoverDepartures(name siskin.ServiceName, primary siskin.TargetID, syncReplicas int, asked time.Time) []siskin.TargetID {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.departures[primary]; ok || r.targets[primary] == nil {
		return nil
	}
	var ids []siskin.TargetID
	for id, d := range r.departures {
		if d.service == name && asked.Sub(d.since) >= departureNoticeDelay {
			ids = append(ids, id)
		}
	}
	return r.cover(ids, asked, func(siskin.ServiceName) int { return syncReplicas })
}

// cover marks departures as covered, the earliest first, and returns them. VMs
// whose list is outdated may not know of those that are younger than
// outdatedNoticeDelay, and pass on commits that all replicas of their list have.
// Only so many of these may be covered that enough replicas remain. The caller
// holds mu.
func (r *Roster) cover(ids []siskin.TargetID, at time.Time, syncReplicas func(siskin.ServiceName) int) []siskin.TargetID {
	slices.SortFunc(ids, func(a, b siskin.TargetID) int {
		return cmp.Or(r.departures[a].since.Compare(r.departures[b].since), cmp.Compare(a, b))
	})
	var covered []siskin.TargetID
	for _, id := range ids {
		d := r.departures[id]
		young := at.Sub(d.since) < outdatedNoticeDelay
		if d.covered || young && r.youngCovered(d.service, at) >= r.spareReplicas(d.service, syncReplicas(d.service)) {
			continue
		}
		d.covered = true
		covered = append(covered, id)
	}
	if len(covered) > 0 {
		r.updatePeaks()
	}
	return covered
}

// youngCovered returns the number of covered departures of a service that are
// younger than outdatedNoticeDelay. The caller holds mu.
func (r *Roster) youngCovered(name siskin.ServiceName, at time.Time) int {
	n := 0
	for _, d := range r.departures {
		if d.service == name && d.covered && at.Sub(d.since) < outdatedNoticeDelay {
			n++
		}
	}
	return n
}

// spareReplicas returns the number of replicas of a complete group that commits
// do not need. The caller holds mu.
func (r *Roster) spareReplicas(name siskin.ServiceName, syncReplicas int) int {
	s := r.sizes[name]
	if s == nil {
		return 0
	}
	return s.n - 1 - max(syncReplicas, 1)
}

// Covered returns the covered departures, ordered by id.
func (r *Roster) Covered() []siskin.TargetID {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []siskin.TargetID
	for id, d := range r.departures {
		if d.covered {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

// LearnCovered applies the covered departures of another VM, which are as many
// as this VM may cover itself at the given time.
func (r *Roster) LearnCovered(list []siskin.TargetID, syncReplicas func(siskin.ServiceName) int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cover(slices.DeleteFunc(slices.Clone(list), func(id siskin.TargetID) bool { return r.departures[id] == nil }), at, syncReplicas)
}

// IsCovered reports whether a target drains and the staying targets have every
// commit that it has acknowledged alone.
func (r *Roster) IsCovered(id siskin.TargetID) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	d := r.departures[id]
	return d != nil && d.covered
}
