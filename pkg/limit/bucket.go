package limit

import (
	"slices"
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// bucket is one VM's state of one hash bucket, under its own lock. The hash
// buckets are the shards of the core.
type bucket struct {
	// The fields that an admission reads share a cache line.
	mu sync.Mutex
	// epoch is zero while the VM is not a holder.
	epoch    uint64
	holdings holdings

	granted uint64 // epoch whose grant was applied
	holders []holderID
	// report is the state on entering epoch. It never changes afterwards, so
	// that a repeated report gets the same answer.
	report ReportReply
	// rest is held for each customer without a holding. The units in restFull
	// have their full burst, the others earn tokens since restAt.
	rest, restFull siskin.QuotaUnits
	restAt         time.Duration
	reading        bool // the record is being read
	unreadable     bool // the platform did not answer the last reading
	readAt         time.Duration
	// serves is a customer for which this VM admits requests; empty while it
	// serves none of the bucket.
	serves siskin.CustomerID
	// reporting says that the epoch's missing units are not granted yet.
	reporting bool
	_         [8]byte // to 384 bytes, six cache lines: neighbors share none
}

// holding returns the state of a customer and creates it from the rest.
func (b *bucket) holding(now time.Duration, id siskin.CustomerID, view config.View) *holding {
	return b.holdingOf(now, hashOf(id), id, view)
}

// holdingOf is holding with the hash of the customer.
func (b *bucket) holdingOf(now time.Duration, hash uint64, id siskin.CustomerID, view config.View) *holding {
	if h := b.holdings.lookup(hash, id); h != nil {
		if !h.known {
			h.learn(now, view)
		}
		return h
	}
	c, ok := view.Customer(id)
	if !ok {
		return nil
	}
	h := b.holdings.add(id)
	h.units, h.known, h.rate, h.burst, h.at = b.rest, true, float64(c.Rate), float64(c.Burst), now
	full := float64(b.restFull) / float64(siskin.TotalQuotaUnits)
	earned := h.rate * (h.share() - full) * (now - b.restAt).Seconds()
	h.tokens = h.burst*full + min(earned, h.burst*(h.share()-full))
	return h
}

// enter moves to an epoch and freezes the report.
func (b *bucket) enter(epoch uint64) {
	b.epoch = epoch
	b.report = ReportReply{Rest: b.rest, Customers: make(map[siskin.CustomerID]siskin.QuotaUnits)}
	for h := range b.holdings.all() {
		b.report.Customers[h.id] = h.units
	}
}

// apply takes over the platform's record as seen by self. An older record is
// ignored.
func (b *bucket) apply(now time.Duration, self holderID, r *record) {
	b.readAt = now
	if r.Epoch < b.epoch {
		return
	}
	if !r.holds(self) && b.epoch == 0 {
		b.holders = r.Holders
		return
	}
	if !r.holds(self) {
		// A holder leaves the record only as gone or superseded.
		b.drop()
		return
	}
	if r.Epoch > b.epoch {
		b.enter(r.Epoch)
	}
	b.holders, b.reporting = r.Holders, r.Reporting
	if r.Reporting || b.granted == r.Epoch {
		return
	}
	b.granted = r.Epoch
	for i := range r.Grants {
		if r.Grants[i].To == self {
			b.addGrant(now, &r.Grants[i])
		}
	}
}

func (b *bucket) addGrant(now time.Duration, g *grant) {
	for h := range b.holdings.all() {
		units, ok := g.Customers[h.id]
		if !ok {
			units = g.Rest
		}
		h.refill(now)
		tokens := 0.0
		if g.Full {
			tokens = h.burst * float64(units) / float64(siskin.TotalQuotaUnits)
		}
		h.add(units, tokens)
		h.wake()
	}
	for id, units := range g.Customers {
		if b.holdings.get(id) == nil {
			// Its rate follows with the first use or, for a customer that is not
			// yet known here, with the configuration.
			h := b.holdings.add(id)
			h.units, h.at = b.rest+units, now
		}
	}
	if g.Full {
		b.restFull += g.Rest
	}
	b.rest += g.Rest
	b.restAt = now
}

// drop gives up everything, after the VM found itself gone or superseded.
func (b *bucket) drop() {
	b.epoch, b.rest, b.restFull, b.holders = 0, 0, 0, nil
	for h := range b.holdings.all() {
		h.units, h.tokens = 0, 0
	}
}

// learn adds holders that joined after the record was read.
func (b *bucket) learn(holders ...holderID) {
	for _, h := range holders {
		if !slices.Contains(b.holders, h) {
			b.holders = append(slices.Clip(b.holders), h)
		}
	}
}
