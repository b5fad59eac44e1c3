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
	// shrinkAfter is the same for a smaller group. A target that discovery has
	// dropped may go on leading, for VMs that do not reach the store either.
	shrinkAfter = 2 * time.Minute
)

// size is the number of targets of a service that are neither draining nor
// listed for a moment only.
type size struct {
	n int
	// other is another number of targets, listed since the given time, which is
	// zero while n are listed.
	other int
	since time.Time
}

// see takes over a number of targets from a list that was current at a time.
func (s *size) see(n int, at time.Time) {
	switch {
	case s.n == 0:
		s.n = n
	case n == s.n:
		s.since = time.Time{}
	case s.since.IsZero() || n != s.other:
		s.other, s.since = n, at
	case n > s.n && at.Sub(s.since) >= growAfter, n < s.n && n > 0 && at.Sub(s.since) >= shrinkAfter:
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
