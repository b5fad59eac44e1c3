package limit

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// contactWindow is the age up to which the answer of a holder shows that this
	// VM gets units from it. It is well above the pause between two rounds, so
	// that a customer that is refused now and then counts as in contact.
	contactWindow = 10 * time.Second
	// demandWindow is the time after the last exchange in which the demand at
	// other holders counts. Older figures say little of the present.
	demandWindow = time.Minute
	// overRateFactor is the known demand, in parts of the rate, from which a customer
	// counts as above it. Demand that moves between VMs is reported by two of them.
	overRateFactor = 2
)

// refillReference refills the bucket: with the whole rate, or with this VM's part of
// it when the customer is known to be far above its rate. Otherwise VMs that are
// cut off from each other would count up to the whole rate each.
func (h *holding) refillReference(now time.Duration) {
	part := 1.0
	if h.otherDemand > 0 && now-h.otherDemandAt < demandWindow {
		h.demand.decay(now)
		if all := h.demand.slow + h.otherDemand; all > overRateFactor*h.rate {
			part = h.demand.slow / all
		}
	}
	h.reference.refill(now, h.rate*part, h.burst*part)
}

// recordDemand records the demand at another holder.
func (h *holding) recordDemand(now time.Duration, vm siskin.VMID, demand siskin.RequestsPerSecond, holders []holderID) {
	h.hints.setDemand(vm, demand)
	h.otherDemand, h.otherDemandAt = h.hints.demandAt(holders), now
}

// withinRate says of a request that is refused for good whether it counts as
// within the customer's rate. It does so unless one of two things shows that the
// customer used its rate up: the requests at this VM exceed its part of it, or every
// other holder answers this VM, so that units and tokens that are to spare
// arrive here. Each request that counts takes its tokens, so that a customer far
// above its rate does not have all its refusals counted.
func (c *core) withinRate(now time.Duration, id siskin.CustomerID, n float64) bool {
	b := c.bucket(bucketOf(id))
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holdings.get(id)
	if h == nil || !h.configured {
		return true // the configuration with the customer has not arrived here
	}
	h.refillReference(now)
	if h.reference.tokens < n || (b.allUnitsInUse(c.self.VM, h) && h.inContact(now, c.self.VM, b.holders)) {
		return false
	}
	h.reference.take(n)
	return true
}

// allUnitsInUse reports whether no units are known to be out of use: a reclaim is
// not in progress, and a VM without other holders has them all.
func (b *bucket) allUnitsInUse(self siskin.VMID, h *holding) bool {
	others := false
	for _, o := range b.holders {
		others = others || o.VM != self
	}
	return b.epoch != 0 && !b.reporting && (others || h.units == siskin.TotalQuotaUnits)
}

// inContact reports whether all other holders answered requests for units of
// the customer lately.
func (h *holding) inContact(now time.Duration, self siskin.VMID, holders []holderID) bool {
	if h.holderUnresponsive {
		return false
	}
	for _, o := range holders {
		if o.VM != self && !h.hints.answeredSince(now-contactWindow, o.VM) {
			return false
		}
	}
	return true
}

// anyUnresponsive reports whether a holder leaves a request of this VM unanswered.
// The caller holds the lock of the exchange.
func (c *core) anyUnresponsive(holders []holderID) bool {
	for _, o := range holders {
		if o.VM != c.self.VM && c.links[o.VM].unresponsive() {
			return true
		}
	}
	return false
}
