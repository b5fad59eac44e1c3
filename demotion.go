package siskin

// Demotion is the part of its resources, in halves, for which an overloaded VM
// is ranked behind other VMs of its data centre.
type Demotion int

// Values of Demotion.
const (
	NotDemoted Demotion = iota
	HalfDemoted
	FullyDemoted
)
