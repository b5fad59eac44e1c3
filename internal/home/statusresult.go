package home

// statusResult is the result of a status request to one replica.
type statusResult struct {
	o   Observation
	err error
}
