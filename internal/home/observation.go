package home

// statusResult is the answer of one replica.
type statusResult struct {
	o   Observation
	err error
}
