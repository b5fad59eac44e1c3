package lease

import (
	"slices"

	"siskintray.example/siskin"
)

// Receipts evaluates which part of a primary's log its replicas have received.
// Every set of targets that a change of primary may claim contains one with the
// commits that are received: Needed of the settled replicas have them, which
// every VM counts as part of the group, or all listed replicas have them, of
// which at most as many may have left unnoticed as are not needed.
type Receipts struct {
	// Needed is the number of replicas that must have a commit.
	Needed int
	// Replicas is the number of listed replicas, or of those of a complete group
	// if it is larger.
	Replicas int

	settled, all []siskin.Position
}

// Add counts the end of the log of one replica.
func (r *Receipts) Add(end siskin.Position, settled bool) {
	r.all = append(r.all, end)
	if settled {
		r.settled = append(r.settled, end)
	}
}

// Enough reports whether further answers can only add to what is received, but
// are not necessary for it.
func (r *Receipts) Enough() bool { return len(r.settled) >= r.Needed }

// Received returns the position up to which enough replicas have the log. It is
// zero when too few of them were counted.
func (r *Receipts) Received() siskin.Position {
	p := nth(r.settled, r.Needed)
	if q := nth(r.all, max(r.Needed, r.Replicas)); q.Compare(p) > 0 {
		return q
	}
	return p
}

// nth returns the position that n logs have, or zero if there are fewer.
func nth(ends []siskin.Position, n int) siskin.Position {
	if len(ends) < n || n < 1 {
		return siskin.Position{}
	}
	slices.SortFunc(ends, func(a, b siskin.Position) int { return b.Compare(a) })
	return ends[n-1]
}
