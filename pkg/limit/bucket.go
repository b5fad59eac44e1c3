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

	grantedEpoch uint64 // epoch whose grant was applied
	holders      []holderID
	// report is the state on entering epoch. It never changes afterwards, so
	// that a repeated report gets the same answer.
	report ReportReply
	// defaultUnits is held for each customer without a holding. The units in defaultUnitsFull
	// have their full burst, the others earn tokens since restAt.
	defaultUnits, defaultUnitsFull siskin.QuotaUnits
	defaultUnitsAt                 time.Duration
	readPending                    bool // the record is being read
	unreadable                     bool // the platform did not answer the last reading
	readAt                         time.Duration
	// servedCustomer is a customer for which this VM admits requests; empty while it
	// servedCustomer none of the bucket.
	servedCustomer siskin.CustomerID
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
		if !h.configured {
			h.setLimits(now, view)
		}
		return h
	}
	c, ok := view.Customer(id)
	if !ok {
		return nil
	}
	h := b.holdings.add(id)
	h.units, h.configured, h.rate, h.burst, h.updatedAt = b.defaultUnits, true, float64(c.Rate), float64(c.Burst), now
	full := float64(b.defaultUnitsFull) / float64(siskin.TotalQuotaUnits)
	earned := h.rate * (h.share() - full) * (now - b.defaultUnitsAt).Seconds()
	h.tokens = h.burst*full + min(earned, h.burst*(h.share()-full))
	return h
}

// enterEpoch moves to an epoch and freezes the report.
func (b *bucket) enterEpoch(epoch uint64) {
	b.epoch = epoch
	b.report = ReportReply{Rest: b.defaultUnits, Customers: make(map[siskin.CustomerID]siskin.QuotaUnits)}
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
		b.enterEpoch(r.Epoch)
	}
	b.holders, b.reporting = r.Holders, r.Reporting
	if r.Reporting || b.grantedEpoch == r.Epoch {
		return
	}
	b.grantedEpoch = r.Epoch
	for i := range r.Grants {
		if r.Grants[i].To == self {
			b.applyGrant(now, &r.Grants[i])
		}
	}
}

func (b *bucket) applyGrant(now time.Duration, g *grant) {
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
			h.units, h.updatedAt = b.defaultUnits+units, now
		}
	}
	if g.Full {
		b.defaultUnitsFull += g.Rest
	}
	b.defaultUnits += g.Rest
	b.defaultUnitsAt = now
}

// drop gives up everything, after the VM found itself gone or superseded.
func (b *bucket) drop() {
	b.epoch, b.defaultUnits, b.defaultUnitsFull, b.holders = 0, 0, 0, nil
	for h := range b.holdings.all() {
		h.units, h.tokens = 0, 0
	}
}

// addHolders adds holders that joined after the record was read.
func (b *bucket) addHolders(holders ...holderID) {
	for _, h := range holders {
		if !slices.Contains(b.holders, h) {
			b.holders = append(slices.Clip(b.holders), h)
		}
	}
}
