package entry

// verdict is whether a request can succeed at a target within its time, as far
// as this VM knows.
type verdict int

const (
	// feasible means that nothing is known against an attempt.
	feasible verdict = iota
	// noPrimary means that the service has no primary and is expected to have
	// none within the time of the request.
	noPrimary
	// partitioned means that no VM of the target's data centre answers, and that
	// attempts at targets there have failed through homes elsewhere.
	partitioned
	// unresponsive means that the last attempts at the target have all failed.
	unresponsive
	// tooSlow means that even the fastest of the recent statements took longer
	// at the target than the request has.
	tooSlow
)

var verdicts = [...]struct{ reason, message string }{
	feasible:     {"", ""},
	noPrimary:    {"NoPrimary", "the service has no primary at the moment"},
	partitioned:  {"Partitioned", "the data centre of the primary cannot be reached"},
	unresponsive: {"Unresponsive", "the primary does not answer at the moment"},
	tooSlow:      {"TooSlow", "the primary takes longer than the request has"},
}

// String returns the reason of a refusal as it appears in logs and metrics.
func (v verdict) String() string { return verdicts[v].reason }

// message returns the reason as stated to the caller.
func (v verdict) message() string { return verdicts[v].message }
