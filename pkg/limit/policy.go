package limit

import (
	"cmp"
	"time"

	"siskintray.example/siskin"
)

// askAhead is the time before a bucket runs dry at the present demand from
// which on its holder asks for units. It covers several round trips.
const askAhead = 100 * time.Millisecond

// needsUnits reports whether a holder should ask others for units.
func (h *holding) needsUnits(now time.Duration, n float64, admitted bool) bool {
	if !admitted {
		return true
	}
	drain := h.demand.highEstimate(now) - h.rate*h.share()
	return drain > 0 && h.tokens < max(drain*askAhead.Seconds(), n)
}

// demandMargin is the part above a holder's demand that it may keep or ask for. At
// an offered load of 0.8 it covers the whole rate.
const demandMargin = 1.25

// minTransfer is the smallest transfer that is worth a message.
const minTransfer = siskin.TotalQuotaUnits / 256

// transferUnits returns the units to give to an asker: what it needs, and at
// least half, of what the giver can spare. An asker whose part is far below its
// demand also gets what brings both to parts proportional to their demand.
func (h *holding) transferUnits(now time.Duration, item *AskItem) (units siskin.QuotaUnits, fair bool) {
	asked, spare := float64(item.Demand), float64(h.spare(now))
	give := min(spare, max(spare/2, h.needed(asked)-float64(item.Units)))
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

// needed returns the units that cover a demand with a margin.
func (h *holding) needed(demand float64) float64 {
	return demandMargin * demand / max(h.rate, 1e-9) * float64(siskin.TotalQuotaUnits)
}

// compareDonors orders holders to ask: a negative result asks a before b. Holders
// of the same data centre that may have units to spare come first, so that the
// parts of the others stay there for the time when they are cut off. Then
// richer ones come first. A holder without a hint may have anything.
func (c *core) compareDonors(now time.Duration, h *holding, a, b siskin.VMID) int {
	if near := cmp.Compare(c.near(now, h, b), c.near(now, h, a)); near != 0 {
		return near
	}
	return cmp.Compare(h.hints.spareOf(now, b), h.hints.spareOf(now, a))
}

func (c *core) near(now time.Duration, h *holding, vm siskin.VMID) int {
	if c.dataCentre(vm) == c.dataCentre(c.self.VM) && h.hints.spareOf(now, vm) > minTransfer {
		return 1
	}
	return 0
}

// deficitWindow is the time for which an asker wants tokens at its present demand,
// so that it asks less often while it has too few units.
const deficitWindow = time.Second

// tokenDeficit returns the tokens that the holder could use: those that its latest
// refused request lacked, or more at a demand above its share.
func (h *holding) tokenDeficit(now time.Duration) float64 {
	h.refill(now)
	drain := h.demand.highEstimate(now) - h.rate*h.share()
	return max(h.lastDeficit, min(drain*deficitWindow.Seconds(), h.burst*h.share()-h.tokens))
}

// removeTokens removes tokens for an asker that lacks some, beyond those in the
// units that it gets. Demand that is spread evenly leaves no units to spare,
// and a small customer has few tokens at each holder, so chance alone empties
// one bucket while others are full. The giver keeps what it will use before it
// could ask itself; the asker cannot hold more than its part of the burst.
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
