package roster

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// growDelay is the time after which a larger number of targets becomes the
	// size of a group. The entry of a crashed target remains for a few seconds
	// beside the entry of its successor.
	growDelay = 8 * time.Second
	// initialGrowDelay is the same for a group that was first listed less than
	// growDelay ago: the first list may lack targets that are starting.
	initialGrowDelay = 2 * time.Second
	// shrinkDelay is the same for a smaller number. A target that discovery has
	// dropped may still be the primary, for VMs that cannot reach the store
	// either.
	shrinkDelay = 2 * time.Minute
	// sizeLearningTime is the time for which a VM learns sizes from other VMs,
	// each of which answers it within a second.
	sizeLearningTime = 30 * time.Second
	// maxGroupSize is the largest size that is learned from the store or a peer.
	// A change of primary keeps a claim for each target, also for missing ones.
	maxGroupSize = 100
	// settleTime is the time from the first list of a group to the moment from
	// which its size is recorded for fleets that start later.
	settleTime = 2 * initialGrowDelay
)

// size is the number of targets of a service, without those that drain or are
// listed only briefly.
type size struct {
	n           int
	firstListed time.Time // first list of the group
	// candidate is a different number of targets, listed since candidateSince,
	// which is zero while n targets are listed.
	candidate      int
	candidateSince time.Time
}

// observe processes the number of targets in a list that was current at the
// given time.
func (s *size) observe(n int, at time.Time) {
	grow := growDelay
	if at.Sub(s.firstListed) < growDelay {
		grow = initialGrowDelay
	}
	switch {
	case s.n == 0:
		s.n, s.firstListed = n, at
	case n == s.n:
		s.candidateSince = time.Time{}
	case s.candidateSince.IsZero() || n != s.candidate:
		s.candidate, s.candidateSince = n, at
	case n > s.n && at.Sub(s.candidateSince) >= grow, n < s.n && n > 0 && at.Sub(s.candidateSince) >= shrinkDelay:
		s.n, s.candidateSince = n, time.Time{}
	}
}

// Size returns the number of targets that a service has when none is missing,
// or zero when the service was never listed. It includes targets that discovery
// has dropped and whose successors are not listed yet, and targets that drain
// or have left before the others were known to have their commits.
func (r *Roster) Size(name siskin.ServiceName) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.sizeOf(name)
}

// sizeOf is Size for a caller that holds mu.
func (r *Roster) sizeOf(name siskin.ServiceName) int {
	n := r.peaks[name]
	if s := r.sizes[name]; s != nil {
		n = max(n, s.n)
	}
	return n
}

// IncompleteSizes returns the sizes of the groups of which targets are missing.
func (r *Roster) IncompleteSizes() map[siskin.ServiceName]int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	sizes := make(map[siskin.ServiceName]int)
	for name, n := range r.pendingCounts {
		if s := r.sizes[name]; n < s.n {
			sizes[name] = s.n
		}
	}
	for _, d := range r.departures {
		if !d.covered && !d.goneAt.IsZero() {
			sizes[d.service] = r.sizeOf(d.service)
		}
	}
	if len(sizes) == 0 {
		return nil
	}
	return sizes
}

// LearnSizes applies the sizes of incomplete groups from another VM. It changes
// only groups that this VM has known for a short time, since its first list may
// lack the same targets.
func (r *Roster) LearnSizes(sizes map[siskin.ServiceName]int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, n := range sizes {
		if s := r.sizes[name]; s != nil && n > s.n && n <= maxGroupSize && at.Sub(s.firstListed) < sizeLearningTime {
			s.n, s.candidateSince = n, time.Time{}
			r.pendingCounts[name] = r.countListed(name)
		}
	}
}

// SizesKnown reports whether this VM knows the sizes that the groups had before
// it started. Until then a group may seem complete although targets are missing.
func (r *Roster) SizesKnown() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.sizesKnown
}

// SizesOfAll returns the sizes of all groups, or nil while they are not known.
func (r *Roster) SizesOfAll() map[siskin.ServiceName]int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.sizesKnown {
		return nil
	}
	sizes := make(map[siskin.ServiceName]int)
	for name, s := range r.sizes {
		sizes[name] = s.n
	}
	return sizes
}

// LearnSizesOfAll applies the sizes of all groups from the store or another VM.
// A group may be listed only later. One that has shrunk meanwhile shrinks again
// once its targets have been missing for long enough.
func (r *Roster) LearnSizesOfAll(sizes map[siskin.ServiceName]int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sizesKnown = true
	for name, n := range sizes {
		s := r.sizes[name]
		if n <= 0 || n > maxGroupSize {
			continue // malformed
		}
		if s == nil {
			s = &size{firstListed: at}
			r.sizes[name] = s
		}
		if n > s.n && at.Sub(s.firstListed) < sizeLearningTime {
			s.n, s.candidateSince = n, time.Time{}
			r.pendingCounts[name] = r.countListed(name)
		}
	}
}

// SettledSizes returns the sizes of the groups that were first listed long
// enough before the given time.
func (r *Roster) SettledSizes(at time.Time) map[siskin.ServiceName]int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	sizes := make(map[siskin.ServiceName]int)
	for name, s := range r.sizes {
		if r.sizesKnown && at.Sub(s.firstListed) >= settleTime {
			sizes[name] = s.n
		}
	}
	return sizes
}

// countListed returns the number of listed targets of a service that don't
// drain. The caller holds mu.
func (r *Roster) countListed(name siskin.ServiceName) int {
	n := 0
	for _, e := range r.targets {
		if e.info.Service == name && e.missingSince.IsZero() && !e.info.Draining {
			n++
		}
	}
	return n
}

// countTargets counts the targets of all groups in a list that was requested at
// the given time. The caller holds mu.
func (r *Roster) countTargets(at time.Time) {
	now := make(map[siskin.ServiceName]int)
	for _, e := range r.targets {
		if e.missingSince.IsZero() && !e.info.Draining {
			now[e.info.Service]++
		}
	}
	for name := range now {
		if r.sizes[name] == nil {
			r.sizes[name] = &size{}
		}
	}
	clear(r.pendingCounts)
	for name := range r.sizes {
		r.pendingCounts[name] = now[name]
	}
	r.updateSizes(at)
}

// updateSizes applies the counts that have lasted long enough at the given
// time. The caller holds mu.
func (r *Roster) updateSizes(at time.Time) {
	for name, n := range r.pendingCounts {
		s := r.sizes[name]
		if s.observe(n, at); s.n == n {
			delete(r.pendingCounts, name)
		}
	}
}
