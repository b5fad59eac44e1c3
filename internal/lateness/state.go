package lateness

// State is the overload of a process.
type State int

// Values of State.
const (
	// Normal means that the process is not overloaded.
	Normal State = iota
	// Recovering means that the process was overloaded, and its delays are below
	// the limit of an overload but not yet normal.
	Recovering
	// Overloaded means that delays are above the limit of an overload.
	Overloaded
)
