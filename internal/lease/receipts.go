package lease

import (
	"slices"

	"siskintray.example/siskin"
)

// Receipts evaluates which part of a primary's log its replicas have received.
// A change of primary promotes a target with every commit that Needed of the
// replicas have, if it counts these replicas as part of the group.
type Receipts struct {
	// Needed is the number of replicas that must have a commit.
	Needed int

	ends []siskin.Position
}

// Add counts the end of the log of one replica.
func (r *Receipts) Add(end siskin.Position) { r.ends = append(r.ends, end) }

// Len returns the number of replicas counted.
func (r *Receipts) Len() int { return len(r.ends) }

// Received returns the position up to which enough replicas have the log. It is
// zero when too few of them were counted.
func (r *Receipts) Received() siskin.Position {
	if len(r.ends) < r.Needed || r.Needed < 1 {
		return siskin.Position{}
	}
	slices.SortFunc(r.ends, func(a, b siskin.Position) int { return b.Compare(a) })
	return r.ends[r.Needed-1]
}
