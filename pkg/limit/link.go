package limit

import (
	"time"

	"siskintray.example/siskin"
)

// link is the state of requests to one giver. At most one request is pending.
// It is repeated until it is answered: giving it up would lose the units that
// the giver may have deducted.
type link struct {
	pending     *AskArgs
	retryAt     time.Duration
	attempts    int
	respondedAt time.Duration // when the giver was last heard after a silence
}

// unresponsiveAttempts is the number of unanswered attempts after which a giver
// counts as silent: 140 ms.
const unresponsiveAttempts = 3

func (l *link) busy() bool { return l != nil && l.pending != nil }

func (l *link) unresponsive() bool { return l.busy() && l.attempts > unresponsiveAttempts }

// peerResponded follows a message from another VM. If it was silent, the network to its
// data centre is back: requests to the silent VMs there are repeated at once,
// and customers whose requests brought nothing ask again. This happens at most
// once in maxBackoff, since the other VM may be peerResponded and not hear. The caller
// holds c.mu.
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
