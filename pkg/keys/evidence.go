package keys

import "time"

// Evidence holds the times at which a VM is known to have missed no withdrawal.
type Evidence struct {
	// CurrentAt is the last time at which the VM provably knew every accepted
	// withdrawal. The proof is a response of the platform, or of a peer that has
	// such a proof.
	CurrentAt time.Time
	// PlatformDownAt is the last time at which peers in all other data centres
	// reported that they cannot reach the platform either. No withdrawal can be
	// accepted then, so none can be missed.
	PlatformDownAt time.Time
}

// Last returns the time of the latest evidence, or the zero time if there is
// none.
func (e Evidence) Last() time.Time {
	if e.PlatformDownAt.After(e.CurrentAt) {
		return e.PlatformDownAt
	}
	return e.CurrentAt
}

// FreshnessWindow is the age up to which evidence counts as current. Watchers
// obtain proof every second, and it spreads to the other VMs by requests between
// random peers: in a data centre of 175 VMs this takes 8 rounds of one second.
// The window delays a withdrawal only in an isolated data centre; elsewhere
// withdrawals are pushed at once.
const FreshnessWindow = 10 * time.Second

// MayAccept reports whether keys may be accepted at the time now: until the
// latest evidence is older than FreshnessWindow plus the grace period of the
// service. A VM that never had evidence accepts no key.
func MayAccept(now time.Time, e Evidence, grace time.Duration) bool {
	return now.Sub(e.Last()) <= FreshnessWindow+grace
}
