package home

// observation is the answer of one replica.
type observation struct {
	o   Observed
	err error
}
