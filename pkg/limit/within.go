package limit

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// contactWindow is the maximum age of a holder's reply that shows that
	// this VM can get units from it. It is well above the pause between two
	// rounds, so that a customer with occasional rejections counts as in
	// contact.
	contactWindow = 10 * time.Second
	// demandWindow is the time after the last exchange during which the known
	// demand at other holders counts. Older figures say little about the
	// current demand.
	demandWindow = time.Minute
	// overRateFactor is the known demand, as a multiple of the rate, above
	// which a customer counts as over its rate. It is 2 because demand that
	// moves between VMs is reported by two of them.
	overRateFactor = 2
)

// refillReference refills the reference bucket at the whole rate, or at this
// VM's part of the rate if the known demand is far above it. Otherwise each of
// several partitioned VMs would count rejected requests up to the whole rate.
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

// withinRate reports whether a finally rejected request counts as within the
// customer's rate. It counts unless there is evidence that the customer used
// up its rate: either the requests at this VM exceed its part of the rate, or
// every other holder answers this VM, so that spare units and tokens arrive
// here. Each request that counts takes its tokens from the reference bucket,
// so that a customer far above its rate does not have all its rejected
// requests counted.
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

// allUnitsInUse reports whether the holders may have all units. It is false
// while no epoch is known, during a reclaim, and when the only holder has fewer
// than all units.
func (b *bucket) allUnitsInUse(self siskin.VMID, h *holding) bool {
	others := false
	for _, o := range b.holders {
		others = others || o.VM != self
	}
	return b.epoch != 0 && !b.reporting && (others || h.units == siskin.TotalQuotaUnits)
}

// inContact reports whether all other holders answered requests for units of
// the customer within contactWindow.
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

// anyUnresponsive reports whether one of the holders leaves a request of this
// VM unanswered. The caller holds c.mu.
func (c *core) anyUnresponsive(holders []holderID) bool {
	for _, o := range holders {
		if o.VM != c.self.VM && c.links[o.VM].unresponsive() {
			return true
		}
	}
	return false
}
