package keys

import "time"

// Evidence is what a VM knows about being current with withdrawals.
type Evidence struct {
	// CurrentAt is the last time that the VM had proof of knowing every accepted
	// withdrawal: an answer of the platform, or of a peer in another data centre
	// that has one.
	CurrentAt time.Time
	// PlatformDownAt is the last time that peers in all other data centres said
	// that the platform is down for them too. No withdrawal can be accepted
	// then, so nothing can be missed.
	PlatformDownAt time.Time
}

// Last returns the time of the newest evidence, zero without any.
func (e Evidence) Last() time.Time {
	if e.PlatformDownAt.After(e.CurrentAt) {
		return e.PlatformDownAt
	}
	return e.CurrentAt
}

// FreshnessWindow is the age up to which evidence counts as present. Watchers have
// proof every second and pass it on with questions to random peers: a data
// centre of 175 VMs needs 8 rounds of a second. It delays the end of a key only
// in a data centre that is cut off; elsewhere a withdrawal is pushed at once.
const FreshnessWindow = 10 * time.Second

// MayAccept reports whether keys go on working. With fresh evidence they do; from
// then on the grace of the service decides. A VM that never had evidence
// accepts no key.
func MayAccept(now time.Time, e Evidence, grace time.Duration) bool {
	return now.Sub(e.Last()) <= FreshnessWindow+grace
}
