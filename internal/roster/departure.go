package roster

import (
	"slices"
	"time"

	"siskintray.example/siskin"
)

const (
	// departureNoticeDelay is the time in which all VMs that reach the store or
	// a peer learn that a target drains: lists are read every 1.5 s and passed
	// on with pings every 0.3 s.
	departureNoticeDelay = 2 * time.Second
	// departureLinger is the time for which a target that has left service
	// discovery may still be running and acknowledge commits.
	departureLinger = 30 * time.Second
)

// departure is a target that drains or has drained. Until the staying replicas
// are known to have its commits, it may be the only replica that has some of
// them.
type departure struct {
	service siskin.ServiceName
	since   time.Time // first list in which it drains
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

// expireDepartures removes the departures of targets that left long ago. One
// that is not covered expires as a missing target does, so that a group whose
// primary has left as well is not blocked for good. The caller holds mu.
func (r *Roster) expireDepartures(at time.Time) {
	for id, d := range r.departures {
		limit := shrinkDelay
		if d.covered {
			limit = departureLinger
		}
		if !d.goneAt.IsZero() && at.Sub(d.goneAt) > limit {
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
// require the staying replicas for later commits. A primary that drains itself
// covers none, since it is one of the targets that have the commits.
func (r *Roster) CoverDepartures(name siskin.ServiceName, primary siskin.TargetID, asked time.Time) []siskin.TargetID {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.departures[primary]; ok || r.targets[primary] == nil {
		return nil
	}
	var covered []siskin.TargetID
	for id, d := range r.departures {
		if d.service == name && !d.covered && asked.Sub(d.since) >= departureNoticeDelay {
			d.covered = true
			covered = append(covered, id)
		}
	}
	if len(covered) > 0 {
		r.updatePeaks()
	}
	return covered
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

// LearnCovered applies the covered departures of another VM.
func (r *Roster) LearnCovered(list []siskin.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, id := range list {
		if d := r.departures[id]; d != nil && !d.covered {
			d.covered, changed = true, true
		}
	}
	if changed {
		r.updatePeaks()
	}
}

// IsCovered reports whether a target drains and the staying targets have every
// commit that it has acknowledged alone.
func (r *Roster) IsCovered(id siskin.TargetID) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	d := r.departures[id]
	return d != nil && d.covered
}
