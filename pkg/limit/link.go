package limit

import (
	"time"

	"siskintray.example/siskin"
)

// link is the state of the requests to one donor. At most one request is
// pending. It is repeated until it is answered: dropping it would lose the
// units that the donor may have deducted.
type link struct {
	pending     *AskArgs
	retryAt     time.Duration
	attempts    int
	respondedAt time.Duration // when the donor last responded after it was unresponsive
}

// unresponsiveAttempts is the number of unanswered attempts after which a
// donor counts as unresponsive; with the retry delays this takes 140 ms.
const unresponsiveAttempts = 3

func (l *link) busy() bool { return l != nil && l.pending != nil }

func (l *link) unresponsive() bool { return l.busy() && l.attempts > unresponsiveAttempts }

// peerResponded handles a message from another VM. If that VM was
// unresponsive, the network to its data centre has recovered: pending requests
// to the unresponsive VMs there are repeated at once, and customers that
// obtained no units ask again. This happens at most once per maxBackoff, since
// the network may work in one direction only. The caller holds c.mu.
func (c *core) peerResponded(now time.Duration, from siskin.VMID) {
	l := c.links[from]
	if !l.unresponsive() || (l.respondedAt != 0 && now-l.respondedAt < maxBackoff) {
		return
	}
	dc := c.dataCentre(from)
	for vm, l := range c.links {
		if l.unresponsive() && c.dataCentre(vm) == dc {
			l.attempts, l.retryAt, l.respondedAt = 1, now, now
		}
	}
	for _, b := range c.each() {
		b.mu.Lock()
		for h := range b.holdings.all() {
			if h.failedRounds > 0 {
				h.failedRounds, h.askAfter = 0, now
				h.wake()
			}
		}
		b.mu.Unlock()
	}
	c.workQueue.wake()
}
