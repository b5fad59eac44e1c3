package lease

import "siskintray.example/siskin"

// Needed returns the number of unclaimed replicas that exclude a completed
// claim. A change leaves at most max(sync, 1) targets unclaimed, and the primary
// is one of them unless it stepped down.
func Needed(sync int) int { return max(sync, 1) }

// Unclaimed reports whether a target is a replica of the given term that no
// change has claimed.
func Unclaimed(s siskin.ControlStatus, term siskin.Term) bool {
	return !s.Primary && s.Term == term && s.PauseTerm <= s.Term
}

// ByReplicas reports whether acknowledged commits rest on replicas, which had to
// receive them first.
func ByReplicas(sync int) bool { return sync > 0 }
