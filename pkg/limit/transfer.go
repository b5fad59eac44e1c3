package limit

import (
	"time"

	"siskintray.example/siskin"
)

// cachedReply is the latest reply to one requester.
type cachedReply struct {
	incarnation siskin.Incarnation
	seq         uint64
	reply       AskReply
}

// handleAsk returns the reply to a request for units. The units are deducted
// before the reply is returned, and a repeated request gets the first reply
// again.
func (c *core) handleAsk(now time.Duration, args *AskArgs) AskReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerResponded(now, args.From)
	last := c.replies[args.From]
	switch {
	case args.ToIncarnation != c.self.Incarnation:
		return AskReply{Stale: true}
	case last == nil || args.FromIncarnation > last.incarnation:
		last = &cachedReply{incarnation: args.FromIncarnation}
		c.replies[args.From] = last
	case args.FromIncarnation < last.incarnation || args.Seq < last.seq:
		return AskReply{Stale: true}
	case args.Seq == last.seq:
		return last.reply
	}
	last.seq = args.Seq
	last.reply = AskReply{Items: make([]TransferItem, 0, len(args.Items))}
	for i := range args.Items {
		last.reply.Items = append(last.reply.Items, c.transfer(now, args, &args.Items[i]))
	}
	return last.reply
}

// transfer handles the request for one customer. The caller holds c.mu.
func (c *core) transfer(now time.Duration, args *AskArgs, item *AskItem) TransferItem {
	i := bucketOf(item.Customer)
	b := c.bucket(i)
	b.mu.Lock()
	defer b.mu.Unlock()
	out := TransferItem{Customer: item.Customer, Epoch: b.epoch}
	if b.epoch == 0 || item.Epoch > b.epoch {
		c.requestRead(i, b) // the record may contain a grant or a newer epoch
	}
	if b.epoch == 0 || item.Epoch != b.epoch {
		return out
	}
	h := b.holding(now, item.Customer, c.view)
	if h == nil {
		return out
	}
	h.refill(now)
	out.Units = h.units
	if !args.All && !c.stopping.Load() {
		out.Units, out.Fair = h.transferUnits(now, item)
		out.Units = min(max(out.Units, 0), h.units)
	}
	tokens := h.take(out.Units)
	tokens += h.removeTokens(now, item, float64(item.Units+out.Units), float64(item.Need)-tokens)
	out.Tokens = siskin.Requests(tokens)
	out.Spare = h.spare(now)
	if best := h.hints.richest(now, args.From); best.vm != "" {
		out.Richest, out.RichestSpare, out.RichestAge = best.vm, best.spare, now-best.updatedAt
	}
	h.demand.decay(now)
	out.Lasting = siskin.RequestsPerSecond(h.demand.slow)
	h.hints.set(now, args.From, 0) // a requester has none to spare
	h.recordDemand(now, args.From, item.Lasting, b.holders)
	b.addHolders(holderID{args.From, args.FromIncarnation})
	if len(b.holders) > item.Known {
		out.Holders = b.holders[:min(len(b.holders), maxItems)]
	}
	return out
}
