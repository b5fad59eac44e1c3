package limit

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/invar"
)

var invUnits = invar.New("LimitUnitsWithinTotal")

// holding is one VM's right of one customer with its token bucket. Times are
// durations since the core's origin.
type holding struct {
	// The fields that an admission uses come first, on two cache lines.
	hash      uint64 // of id
	id        siskin.CustomerID
	units     siskin.QuotaUnits
	tokens    float64
	updatedAt time.Duration // time of tokens
	// rate and burst are those of the whole customer; known is false while the
	// configuration has no such customer.
	rate, burst   float64
	configured    bool
	assigned      bool          // belongs to a customer
	askQueued     bool          // on the list of customers to ask for
	askAfter      time.Duration // earliest time of the next request for units
	demand        meter
	waitingTokens float64 // tokens that the waiting requests need
	lastDeficit   float64 // tokens that the latest refused request lacked

	reference          referenceBucket
	otherDemand        float64       // demand at the other holders, as far as it is known
	otherDemandAt      time.Duration // time of the last exchange with one of them
	holderUnresponsive bool          // a holder did not answer when units were asked for last

	failedRounds int           // rounds in a row that brought nothing
	roundStart   time.Duration // start of the round over all holders
	hints        hints
	waiters      int
	wakeup       chan struct{} // closed when waiting requests must look again; nil without any
}

func (h *holding) share() float64 { return float64(h.units) / float64(siskin.TotalQuotaUnits) }

// setLimits takes the customer's rate from the configuration, if it is there.
func (h *holding) setLimits(now time.Duration, view config.View) {
	doc, ok := view.Customer(h.id)
	if h.configured = ok; ok {
		h.refill(now)
		h.rate, h.burst = float64(doc.Rate), float64(doc.Burst)
	}
}

// refill adds the tokens since the last call. Time that goes back adds none.
func (h *holding) refill(now time.Duration) {
	share := h.share()
	if now > h.updatedAt {
		h.tokens += h.rate * share * (now - h.updatedAt).Seconds()
		h.updatedAt = now
	}
	h.tokens = min(h.tokens, h.burst*share)
}

// take removes units with the tokens in them. The caller has refilled.
func (h *holding) take(units siskin.QuotaUnits) (tokens float64) {
	if units == 0 {
		return 0
	}
	tokens = h.tokens * float64(units) / float64(h.units)
	h.tokens -= tokens
	h.units -= units
	h.check()
	return tokens
}

// add merges units and tokens. The caller has refilled.
func (h *holding) add(units siskin.QuotaUnits, tokens float64) {
	h.units += units
	h.tokens += tokens
	h.check()
}

func (h *holding) check() {
	if h.units < 0 || h.units > siskin.TotalQuotaUnits {
		invUnits.Check(false, "customer %s: %d units", h.id, h.units)
	}
}
