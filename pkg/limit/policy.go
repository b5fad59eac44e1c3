package limit

import (
	"cmp"
	"time"

	"siskintray.example/siskin"
)

// askAhead is how long before its tokens run out at the current demand a
// holder asks for units. It covers several round trips.
const askAhead = 100 * time.Millisecond

// needsUnits reports whether to ask other holders for units, after a request
// for n tokens.
func (h *holding) needsUnits(now time.Duration, n float64, admitted bool) bool {
	if !admitted {
		return true
	}
	drain := h.demand.highEstimate(now) - h.rate*h.share()
	return drain > 0 && h.tokens < max(drain*askAhead.Seconds(), n)
}

// demandMargin is the factor by which the units that a holder may keep or ask
// for exceed its demand. At an offered load of 0.8 it covers the whole rate.
const demandMargin = 1.25

// minTransfer is the smallest transfer that is worth a message.
const minTransfer = siskin.TotalQuotaUnits / 256

// transferUnits returns the units to give to a requester: out of the spare
// units, those that it needs, and at least half. A requester whose units are
// far below its demand gets as many as divide the units of both in proportion
// to their demand; fair is then true.
func (h *holding) transferUnits(now time.Duration, item *AskItem) (units siskin.QuotaUnits, fair bool) {
	requesterDemand, spare := float64(item.Demand), float64(h.spare(now))
	give := min(spare, max(spare/2, h.needed(requesterDemand)-float64(item.Units)))
	total, lasting := float64(h.units+item.Units), float64(item.Lasting)
	if more := total*lasting/max(lasting+h.demand.slow, 1e-9) - float64(item.Units); more > max(give, total/8) {
		give, fair = more, true
	}
	if give < float64(minTransfer) && give < float64(h.units) {
		return 0, false
	}
	return siskin.QuotaUnits(give), fair
}

// spare returns the units that the holder does not need for its own demand.
func (h *holding) spare(now time.Duration) siskin.QuotaUnits {
	return h.units - min(h.units, siskin.QuotaUnits(h.needed(h.demand.lowEstimate(now))))
}

// needed returns the units that cover a demand multiplied by demandMargin.
func (h *holding) needed(demand float64) float64 {
	return demandMargin * demand / max(h.rate, 1e-9) * float64(siskin.TotalQuotaUnits)
}

// compareDonors orders holders to ask: it is negative if a is asked before b.
// Holders in the same data centre that may have spare units come first, so
// that other data centres keep their units in case they are cut off. The
// others are ordered by their spare units, most first. A holder without a hint
// counts as having unknownSpare.
func (c *core) compareDonors(now time.Duration, h *holding, a, b siskin.VMID) int {
	if locality := cmp.Compare(c.locality(now, h, b), c.locality(now, h, a)); locality != 0 {
		return locality
	}
	return cmp.Compare(h.hints.spareOf(now, b), h.hints.spareOf(now, a))
}

// locality returns 1 for a VM in the same data centre that may have spare units,
// else 0.
func (c *core) locality(now time.Duration, h *holding, vm siskin.VMID) int {
	if c.dataCentre(vm) == c.dataCentre(c.self.VM) && h.hints.spareOf(now, vm) > minTransfer {
		return 1
	}
	return 0
}

// deficitWindow is the time at the current demand for which a requester asks
// for tokens. It reduces the number of requests while the requester has too
// few units.
const deficitWindow = time.Second

// tokenDeficit returns the tokens that the holder could use: those that its
// latest rejected request lacked, or more if its demand exceeds its part of
// the rate.
func (h *holding) tokenDeficit(now time.Duration) float64 {
	h.refill(now)
	drain := h.demand.highEstimate(now) - h.rate*h.share()
	return max(h.lastDeficit, min(drain*deficitWindow.Seconds(), h.burst*h.share()-h.tokens))
}

// removeTokens removes and returns tokens for a requester that lacks some,
// beyond those that come with its units. Evenly spread demand leaves no units
// to spare, and a small customer has few tokens at each holder, so by chance
// one token bucket is empty while others are full. The donor keeps the tokens
// that it will use before it could ask for units itself; the requester cannot
// hold more than its part of the burst.
func (h *holding) removeTokens(now time.Duration, item *AskItem, units, need float64) float64 {
	spare := h.tokens - h.waitingTokens - 1 - h.demand.highEstimate(now)*askAhead.Seconds()
	room := h.burst * units / float64(siskin.TotalQuotaUnits)
	give := min(max(need, spare/2), spare, room)
	if need <= 0 || item.Need <= 0 || give < min(need, 1) {
		return 0
	}
	h.tokens -= give
	return give
}
