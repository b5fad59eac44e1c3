package entry

import "time"

// contactWindow is the time for which an attempt at a target says whether its
// data centre can be reached. It spans several trials.
const contactWindow = failedWindow

// contact holds the last attempts at the targets of one data centre through
// homes outside of it.
type contact struct {
	answeredAt, failedAt time.Time
	// failingSince is the first failure that no answer and no longer pause has
	// followed.
	failingSince time.Time
}

func (c *contact) add(answered bool, now time.Time) {
	if answered {
		c.answeredAt = now
		return
	}
	if now.Sub(c.failedAt) >= contactWindow || c.answeredAt.After(c.failingSince) {
		c.failingSince = now
	}
	c.failedAt = now
}

// known reports whether any attempt is recent.
func (c *contact) known(now time.Time) bool {
	return now.Sub(c.failedAt) < contactWindow || now.Sub(c.answeredAt) < contactWindow
}

// lost reports whether attempts have failed lately and none was answered. One
// target that is down does not make its data centre count as lost.
func (c *contact) lost(now time.Time) bool {
	return now.Sub(c.failedAt) < contactWindow && now.Sub(c.answeredAt) >= contactWindow
}
