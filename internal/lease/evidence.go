package lease

import "siskintray.example/siskin"

// Quorum returns the number of unclaimed replicas that rule out a completed set
// of claims. A change leaves at most max(sync, 1) targets unclaimed, and the
// primary is one of them unless it stepped down.
func Quorum(sync int) int { return max(sync, 1) }

// Unclaimed reports whether a target is a replica of the given term that no
// change of primary has claimed.
func Unclaimed(s siskin.ControlStatus, term siskin.Term) bool {
	return !s.Primary && s.Term == term && s.PauseTerm <= s.Term
}

// Synchronous reports whether replicas must receive a commit before it is
// acknowledged.
func Synchronous(sync int) bool { return sync > 0 }
