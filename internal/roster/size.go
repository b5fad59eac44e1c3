package roster

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// growAfter is the time for which a group has to be larger before it counts as
	// such. The entry of a target that crashed stays for a few seconds beside that
	// of its successor.
	growAfter = 8 * time.Second
	// growAtFirst is the same for a group that was first listed less than growAfter
	// ago: the first list may lack targets that are starting.
	growAtFirst = 2 * time.Second
	// shrinkAfter is the same for a smaller group. A target that discovery has
	// dropped may go on leading, for VMs that do not reach the store either.
	shrinkAfter = 2 * time.Minute
	// expectFor is the time for which a VM learns sizes from others. Each of them
	// answers it within a second.
	expectFor = 30 * time.Second
)

// size is the number of targets of a service that are neither draining nor
// listed for a moment only.
type size struct {
	n     int
	first time.Time // first list of the group
	// other is another number of targets, listed since the given time, which is
	// zero while n are listed.
	other int
	since time.Time
}

// see takes over a number of targets from a list that was current at a time.
func (s *size) see(n int, at time.Time) {
	grow := growAfter
	if at.Sub(s.first) < growAfter {
		grow = growAtFirst
	}
	switch {
	case s.n == 0:
		s.n, s.first = n, at
	case n == s.n:
		s.since = time.Time{}
	case s.since.IsZero() || n != s.other:
		s.other, s.since = n, at
	case n > s.n && at.Sub(s.since) >= grow, n < s.n && n > 0 && at.Sub(s.since) >= shrinkAfter:
		s.n, s.since = n, time.Time{}
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
	for name, n := range r.unsettled {
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
		if s := r.sizes[name]; s != nil && n > s.n && at.Sub(s.first) < expectFor {
			s.n, s.since = n, time.Time{}
			r.unsettled[name] = r.listedOf(name)
		}
	}
}

// listedOf returns the number of targets of a service that are listed and not
// draining. The caller holds mu.
func (r *Roster) listedOf(name siskin.ServiceName) int {
	n := 0
	for _, e := range r.targets {
		if e.info.Service == name && e.missing.IsZero() && !e.info.Draining {
			n++
		}
	}
	return n
}

// count takes over the sizes of all groups from a list that was asked for at a
// time. The caller holds mu.
func (r *Roster) count(at time.Time) {
	now := make(map[siskin.ServiceName]int)
	for _, e := range r.targets {
		if e.missing.IsZero() && !e.info.Draining {
			now[e.info.Service]++
		}
	}
	for name := range now {
		if r.sizes[name] == nil {
			r.sizes[name] = &size{}
		}
	}
	clear(r.unsettled)
	for name := range r.sizes {
		r.unsettled[name] = now[name]
	}
	r.settle(at)
}

// settle takes over the sizes that have lasted until the given time. The caller
// holds mu.
func (r *Roster) settle(at time.Time) {
	for name, n := range r.unsettled {
		s := r.sizes[name]
		if s.see(n, at); s.n == n {
			delete(r.unsettled, name)
		}
	}
}
