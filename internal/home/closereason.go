package home

// closeReason is why this VM closed a connection to a target.
type closeReason int

const (
	// surplus is for connections that are idle for too long or above the limit.
	surplus closeReason = iota
	// replaced is for idle connections closed for one of another customer.
	replaced
	// suspect is for idle connections closed after another one broke, or after
	// the target restarted.
	suspect
	// broken is for connections that failed or did not answer in time.
	broken
	// refused is for connections on which a statement of this VM was refused.
	refused
	// abandoned is for connections closed to roll a transaction back.
	abandoned
	// outOfStep is for connections whose answers could not be matched to their
	// statements.
	outOfStep
	// stopped is for connections of a VM that stops or has left the target.
	stopped
)

var closeReasons = [...]string{"Surplus", "Replaced", "Suspect", "Broken", "Refused", "Abandoned", "OutOfStep", "Stopped"}

// String returns the name used in logs and metrics.
func (r closeReason) String() string {
	if r < 0 || int(r) >= len(closeReasons) {
		return "Unknown"
	}
	return closeReasons[r]
}

// isUnplanned reports whether the reason shows trouble at the target.
func (r closeReason) isUnplanned() bool { return r == broken || r == refused || r == outOfStep }
