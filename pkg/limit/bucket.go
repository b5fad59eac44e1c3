package limit

import (
	"slices"
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// bucket is the state of one hash bucket at this VM. Each bucket has its own
// lock, which shards the core.
type bucket struct {
	// The fields that an admission reads share a cache line.
	mu sync.Mutex
	// epoch is zero while the VM is not a holder.
	epoch    uint64
	holdings holdings

	grantedEpoch uint64 // the last epoch whose grants were applied
	holders      []holderID
	// report is the state at the start of epoch. It never changes within the
	// epoch, so that a repeated request for a report gets the same reply.
	report ReportReply
	// defaultUnits are the units of each customer without a holding. Of
	// these, defaultUnitsFull have their full burst; the others earn tokens
	// since defaultUnitsAt.
	defaultUnits, defaultUnitsFull siskin.QuotaUnits
	defaultUnitsAt                 time.Duration
	readPending                    bool // a read of the record is queued or in progress
	unreadable                     bool // the platform did not answer the last read
	readAt                         time.Duration
	// servedCustomer is a customer in the bucket whose requests this VM
	// admits. It is empty if there is none.
	servedCustomer siskin.CustomerID
	// reporting is true from the start of the epoch until the unaccounted
	// units are granted.
	reporting bool
	_         [8]byte // pads to 384 bytes, six cache lines, to avoid false sharing
}

// holding returns the holding of a customer. It creates a missing one from
// defaultUnits, and returns nil if the customer is not configured.
func (b *bucket) holding(now time.Duration, id siskin.CustomerID, view config.View) *holding {
	return b.holdingOf(now, hashOf(id), id, view)
}

// holdingOf is like holding, but takes the hash of the customer.
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

// enterEpoch starts an epoch and stores the report for it.
func (b *bucket) enterEpoch(epoch uint64) {
	b.epoch = epoch
	b.report = ReportReply{Rest: b.defaultUnits, Customers: make(map[siskin.CustomerID]siskin.QuotaUnits)}
	for h := range b.holdings.all() {
		b.report.Customers[h.id] = h.units
	}
}

// apply applies the platform's record for the VM self. It ignores a record of
// an earlier epoch.
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
		// Only a holder that is gone or superseded is removed from the record.
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

// applyGrant adds the granted units to all holdings and to defaultUnits.
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
			// The rate and burst are set at the first use, or when the
			// configuration with the customer arrives.
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

// drop removes all units, after this VM was found gone or superseded.
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
