package limit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"siskintray.example/siskin"
)

// outgoing is a message to send.
type outgoing struct {
	to   siskin.VMID
	args *AskArgs
}

const (
	// askTimeout is how long a customer waits for a reply from one donor
	// before it asks another. It covers several round trips between data
	// centres.
	askTimeout = 20 * time.Millisecond
	// firstRetry is the first delay before a failed request is repeated, and
	// maxBackoff the longest. A lost reply keeps units out of use until the
	// request is repeated.
	firstRetry = askTimeout
	maxBackoff = time.Second
	// maxUnresponsiveBackoff bounds the delay of repeated requests to an
	// unresponsive donor. A holder in an isolated data centre has requests
	// pending to all others; repeating them every second left only half of
	// its budget for the VMs in its own data centre.
	maxUnresponsiveBackoff = 4 * time.Second
	// After minRereadFailures failed rounds the record is read again, at most
	// once per rereadInterval.
	minRereadFailures = 2
	rereadInterval    = 5 * time.Second
	// maxItems bounds the customers in one message.
	maxItems = 64
)

// plan returns the messages to send now: first the repeated ones, then new
// ones for the queued customers, batched by donor.
func (c *core) plan(now time.Duration) []outgoing {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []outgoing
	for _, vm := range sorted(c.links) {
		if l := c.links[vm]; l.pending != nil && now >= l.retryAt && c.budget.left(now) > 0 {
			out = append(out, c.prepareSend(now, vm, l))
		}
	}
	want := c.workQueue.takeCustomers()
	if c.stopping.Load() {
		return out
	}
	batches := make(map[siskin.VMID]*AskArgs)
	for _, id := range want {
		c.planRequest(now, id, batches)
	}
	for _, vm := range sorted(batches) {
		args, l := batches[vm], c.links[vm]
		c.seq++
		args.Seq = c.seq
		l.pending, l.attempts = args, 0
		out = append(out, c.prepareSend(now, vm, l))
	}
	return out
}

// sorted returns the keys in order, so that runs with a fixed seed are
// repeatable.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// prepareSend returns the pending message of a link, schedules its next
// repetition and charges the budget.
func (c *core) prepareSend(now time.Duration, vm siskin.VMID, l *link) outgoing {
	l.retryAt = now + min(firstRetry<<min(l.attempts, 8), maxUnresponsiveBackoff)
	l.attempts++
	c.budget.spent += messageBytes
	if l.attempts > 1 {
		c.budget.spent += float64(itemBytes * len(l.pending.Items))
	}
	return outgoing{vm, l.pending}
}

// planRequest adds one customer to the batch of the holder to ask.
func (c *core) planRequest(now time.Duration, id siskin.CustomerID, batches map[siskin.VMID]*AskArgs) {
	b := c.bucket(bucketOf(id))
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holdings.get(id)
	if h == nil {
		return
	}
	h.askQueued = false
	h.holderUnresponsive = c.anyUnresponsive(b.holders)
	if b.epoch == 0 {
		// A reclaim would grant units of a VM that is not in the record a second
		// time.
		h.askAfter = now + recordInterval
		return
	}
	if c.budget.left(now) <= 0 {
		h.askAfter = now + 10*askTimeout
		h.wake()
		return
	}
	donor, ok := c.donor(now, b, h, batches)
	if !ok {
		c.askFailed(now, b, h)
		return
	}
	h.askAfter = now + askTimeout
	args := batches[donor.VM]
	if args == nil {
		args = &AskArgs{From: c.self.VM, FromIncarnation: c.self.Incarnation, ToIncarnation: donor.Incarnation}
		batches[donor.VM] = args
	}
	c.budget.spent += itemBytes
	args.Items = append(args.Items, AskItem{
		Customer: id, Epoch: b.epoch, Units: h.units, Lasting: siskin.RequestsPerSecond(h.demand.slow),
		Demand: siskin.RequestsPerSecond(h.demand.highEstimate(now)), Need: siskin.Requests(h.tokenDeficit(now)),
		Known: len(b.holders),
	})
}

// askFailed handles a request that obtained no units. Holders that were not
// asked in this round are asked next, without a delay. After a complete round
// the delay grows exponentially, since the customer probably uses its whole
// rate.
func (c *core) askFailed(now time.Duration, b *bucket, h *holding) {
	for _, o := range b.holders {
		if o.VM != c.self.VM && !h.hints.answeredSince(h.roundStart, o.VM) && !c.links[o.VM].busy() {
			h.askAfter = now
			return
		}
	}
	h.askAfter = now + min(askTimeout<<min(h.failedRounds, 8), maxBackoff)
	h.roundStart = now
	h.failedRounds++
	h.wake() // rejects requests that no holder can serve
}

// donor returns the holder to ask among those without a pending request.
func (c *core) donor(now time.Duration, b *bucket, h *holding, batches map[siskin.VMID]*AskArgs) (holderID, bool) {
	var best holderID
	for _, o := range b.holders {
		l := c.links[o.VM]
		if l == nil {
			l = new(link)
			c.links[o.VM] = l
		}
		batch := batches[o.VM]
		if o.VM == c.self.VM || l.pending != nil || (batch != nil && (len(batch.Items) >= maxItems || batch.ToIncarnation != o.Incarnation)) {
			continue
		}
		if best.VM == "" || c.compareDonors(now, h, o.VM, best.VM) < 0 {
			best = o
		}
	}
	return best, best.VM != ""
}

// handleReply applies a reply. Units of another epoch than that of the bucket
// are void: the reclaim of the newer epoch counts them as missing.
func (c *core) handleReply(now time.Duration, from siskin.VMID, seq uint64, reply *AskReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[from]
	if l == nil || l.pending == nil || l.pending.Seq != seq {
		return // a duplicate reply
	}
	c.peerResponded(now, from)
	l.pending = nil
	for i := range reply.Items {
		c.acceptTransfer(now, from, &reply.Items[i])
	}
}

// acceptTransfer applies the reply for one customer. The caller holds c.mu.
func (c *core) acceptTransfer(now time.Duration, from siskin.VMID, item *TransferItem) {
	i := bucketOf(item.Customer)
	b := c.bucket(i)
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holdings.get(item.Customer)
	if item.Epoch > b.epoch {
		c.requestRead(i, b)
	}
	if h == nil {
		return
	}
	h.holderUnresponsive = c.anyUnresponsive(b.holders)
	h.hints.set(now, from, item.Spare)
	h.hints.markAnswered(now, from)
	h.recordDemand(now, from, item.Lasting, b.holders)
	if item.Richest != "" && item.Richest != c.self.VM {
		h.hints.set(now-item.RichestAge, item.Richest, item.RichestSpare)
	}
	if item.Epoch != b.epoch || b.epoch == 0 {
		return
	}
	b.addHolders(item.Holders...)
	h.refill(now)
	h.add(item.Units, float64(item.Tokens))
	if item.Units == 0 {
		if item.Tokens > 0 {
			// The tokens serve waiting requests; the round continues for units.
			h.failedRounds = 0
			h.wake()
		}
		c.askFailed(now, b, h)
		if h.failedRounds >= minRereadFailures && now-b.readAt >= rereadInterval {
			c.requestRead(i, b) // a holder that joined later may have spare units
		}
		return
	}
	h.askAfter = now
	if item.Fair {
		c.askFailed(now, b, h)
	} else {
		h.failedRounds = 0
	}
	h.wake()
}

// wake makes waiting requests retry, since units arrived or are no longer
// expected.
func (h *holding) wake() {
	if h.wakeup != nil {
		close(h.wakeup)
		h.wakeup = nil
	}
}

// forgetGone deletes the requests to incarnations that are gone, whose units
// are reclaimed, and the cached replies to such incarnations.
func (c *core) forgetGone(gone func(holderID) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for vm, l := range c.links {
		if l.pending != nil && gone(holderID{vm, l.pending.ToIncarnation}) {
			delete(c.links, vm)
		}
	}
	for vm, a := range c.replies {
		if gone(holderID{vm, a.incarnation}) {
			delete(c.replies, vm)
		}
	}
}
