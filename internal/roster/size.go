package roster

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// growDelay is the time for which a group has to be larger before it counts as
	// such. The entry of a target that crashed stays for a few seconds beside that
	// of its successor.
	growDelay = 8 * time.Second
	// initialGrowDelay is the same for a group that was first listed less than growAfter
	// ago: the first list may lack targets that are starting.
	initialGrowDelay = 2 * time.Second
	// shrinkDelay is the same for a smaller group. A target that discovery has
	// dropped may go on leading, for VMs that do not reach the store either.
	shrinkDelay = 2 * time.Minute
	// sizeLearningTime is the time for which a VM learns sizes from others. Each of them
	// answers it within a second.
	sizeLearningTime = 30 * time.Second
)

// size is the number of targets of a service that are neither draining nor
// listed for a moment only.
type size struct {
	n           int
	firstListed time.Time // first list of the group
	// candidate is another number of targets, listed since the given time, which is
	// zero while n are listed.
	candidate      int
	candidateSince time.Time
}

// observe takes over a number of targets from a list that was current at a time.
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
// zero when the service was never listed. Targets that discovery has dropped,
// and whose successors it does not list yet, count.
func (r *Roster) Size(name siskin.ServiceName) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if s := r.sizes[name]; s != nil {
		return s.n
	}
	return 0
}

// IncompleteSizes returns the sizes of the groups that lack targets.
func (r *Roster) IncompleteSizes() map[siskin.ServiceName]int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var sizes map[siskin.ServiceName]int
	for name, n := range r.pendingCounts {
		if s := r.sizes[name]; n < s.n {
			if sizes == nil {
				sizes = make(map[siskin.ServiceName]int)
			}
			sizes[name] = s.n
		}
	}
	return sizes
}

// LearnSizes takes over the sizes of groups that lack targets from another VM. Only
// groups that this VM has known for a short time change: its first list may lack
// the same targets.
func (r *Roster) LearnSizes(sizes map[siskin.ServiceName]int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, n := range sizes {
		if s := r.sizes[name]; s != nil && n > s.n && at.Sub(s.firstListed) < sizeLearningTime {
			s.n, s.candidateSince = n, time.Time{}
			r.pendingCounts[name] = r.countListed(name)
		}
	}
}

// countListed returns the number of targets of a service that are listed and not
// draining. The caller holds mu.
func (r *Roster) countListed(name siskin.ServiceName) int {
	n := 0
	for _, e := range r.targets {
		if e.info.Service == name && e.missingSince.IsZero() && !e.info.Draining {
			n++
		}
	}
	return n
}

// countTargets takes over the sizes of all groups from a list that was asked for at a
// time. The caller holds mu.
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

// updateSizes takes over the sizes that have lasted until the given time. The caller
// holds mu.
func (r *Roster) updateSizes(at time.Time) {
	for name, n := range r.pendingCounts {
		s := r.sizes[name]
		if s.observe(n, at); s.n == n {
			delete(r.pendingCounts, name)
		}
	}
}
