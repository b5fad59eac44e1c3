package speed

import (
	"strconv"

	"siskintray.example/siskin"
)

// Kind is a kind of statement whose time at a target is learned. Reads that can
// run at any target are kept apart from those that run at the primary or in a
// transaction, and by the class of their route: the targets of a service get
// different statements, and would seem to differ in speed.
type Kind int

// Values of Kind. None is for statements that are not measured. Reads of less
// urgent classes follow Read.
const (
	None      Kind = -1
	Read      Kind = 0
	OtherRead      = Read + 1 + Kind(siskin.LeastUrgent)
	Write          = OtherRead + 1
	Commit         = OtherRead + 2
	// Kinds is the number of kinds.
	Kinds = OtherRead + 3
)

// ReadOf returns the kind of reads of a class that can run at any target.
func ReadOf(c siskin.PriorityClass) Kind { return Read + Kind(c.Valid()) }

// String returns the kind's name as it appears in logs and metrics.
func (k Kind) String() string {
	switch {
	case k == Read:
		return "read"
	case k > Read && k < OtherRead:
		return "read_" + strconv.Itoa(int(k-Read))
	case k == OtherRead:
		return "other_read"
	case k == Write:
		return "write"
	case k == Commit:
		return "commit"
	}
	return "none"
}

// KindOf returns the kind of a statement. A read is of the given kind. A commit
// without writes is as fast as a statement without work and is not measured.
func KindOf(s *siskin.Statement, read Kind, commitsWrites bool) Kind {
	switch {
	case s.MayWrite():
		return Write
	case s.Kind == siskin.Read || s.Kind == siskin.Execute:
		return read
	case s.Kind == siskin.Commit && commitsWrites:
		return Commit
	default:
		return None
	}
}
