package limit

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// handoverInterval is the pause between two rounds of offers.
const handoverInterval = 20 * time.Millisecond

// Handover transfers all units of configured customers to other live holders
// and stops requesting units. It returns when no units are left that another
// live holder can take, or when ctx is done. Units that are left are reclaimed
// by the other holders after the VM is gone.
func (l *Limiter) Handover(ctx context.Context) error {
	l.core.stopping.Store(true)
	for {
		offers := l.offers()
		if len(offers) == 0 {
			return nil
		}
		for vm, args := range offers {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			_ = l.peers.Call(callCtx, vm, "Limit.Ask", args, &AskReply{}) // on failure the next round repeats the offer
			cancel()
		}
		select {
		case <-ctx.Done():
			return siskin.NewError(siskin.Unavailable, "handover ended before all units were transferred").
				WithRemedy("no action is needed; the remaining units are reclaimed after the VM is gone").WithCause(ctx.Err())
		case <-l.clock.After(handoverInterval):
		}
	}
}

// offers returns one offer of the remaining units for each receiving VM.
func (l *Limiter) offers() map[siskin.VMID]*AskArgs {
	now := l.now()
	offers := make(map[siskin.VMID]*AskArgs)
	live := l.members.Live()
	for _, id := range l.view.Customers() {
		item, ok := l.core.offer(now, id)
		if !ok {
			continue
		}
		vm, ok := l.successor(bucketOf(id), live)
		if !ok {
			continue
		}
		if offers[vm] == nil {
			offers[vm] = &AskArgs{From: l.core.self.VM, FromIncarnation: l.core.self.Incarnation, Offer: true}
		}
		if args := offers[vm]; len(args.Items) < maxItems {
			args.Items = append(args.Items, item)
		}
	}
	return offers
}

// successor returns the live holder that receives the units of a bucket. It
// prefers one in the same data centre, so that the units stay there.
func (l *Limiter) successor(i int, live []siskin.VM) (siskin.VMID, bool) {
	var vms []siskin.VM
	for _, vm := range live {
		for _, h := range l.core.holdersOf(i) {
			if h.VM == vm.ID && h.Incarnation == vm.Incarnation && vm.ID != l.core.self.VM {
				vms = append(vms, vm)
			}
		}
	}
	best, ok := place.Best(string(objectName(i)), place.PreferDataCentre(l.members.Self().DataCentre, vms))
	return best.ID, ok
}

// acceptOffer requests from the sender all units that it offers.
func (l *Limiter) acceptOffer(args *AskArgs) {
	l.core.acceptOffer(l.now(), args)
	l.core.workQueue.wake()
}

// offer returns the units that this VM holds for a customer, and false if it
// holds none. It creates a missing holding.
func (c *core) offer(now time.Duration, id siskin.CustomerID) (AskItem, bool) {
	b := c.bucket(bucketOf(id))
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoch == 0 {
		return AskItem{}, false
	}
	h := b.holding(now, id, c.view)
	if h == nil || h.units == 0 {
		return AskItem{}, false
	}
	return AskItem{Customer: id, Epoch: b.epoch, Units: h.units}, true
}

// acceptOffer queues one request for all units that another VM offers. It
// ignores the offer while an earlier request to that VM is pending; the sender
// repeats it in its next round.
func (c *core) acceptOffer(now time.Duration, offer *AskArgs) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[offer.From]
	if l == nil {
		l = new(link)
		c.links[offer.From] = l
	}
	if l.pending != nil || c.stopping.Load() {
		return
	}
	args := &AskArgs{From: c.self.VM, FromIncarnation: c.self.Incarnation, ToIncarnation: offer.FromIncarnation, All: true}
	for _, item := range offer.Items {
		i := bucketOf(item.Customer)
		b := c.bucket(i)
		b.mu.Lock()
		if b.epoch < item.Epoch {
			c.requestRead(i, b)
		}
		if b.epoch == item.Epoch && b.holding(now, item.Customer, c.view) != nil {
			args.Items = append(args.Items, AskItem{Customer: item.Customer, Epoch: b.epoch})
		}
		b.mu.Unlock()
	}
	if len(args.Items) == 0 {
		return
	}
	c.seq++
	args.Seq = c.seq
	l.pending, l.attempts, l.retryAt = args, 0, now
}
