package limit

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/invar"
)

var invUnits = invar.New("LimitUnitsWithinTotal")

// holding is this VM's part of the quota of one customer, with its token
// bucket. Times are relative to the origin of the Limiter.
type holding struct {
	// The fields that an admission uses come first, on two cache lines.
	hash      uint64 // of id
	id        siskin.CustomerID
	units     siskin.QuotaUnits
	tokens    float64
	updatedAt time.Duration // when tokens was last updated
	// rate and burst are those of the whole customer. They are valid if
	// configured is true: the customer is in the configuration.
	rate, burst   float64
	configured    bool
	assigned      bool          // false for an unused first slot of holdings
	askQueued     bool          // the customer is in the work queue, to ask for units
	askAfter      time.Duration // earliest time of the next request for units
	demand        meter
	waitingTokens float64 // tokens needed by the waiting requests
	lastDeficit   float64 // tokens that the latest rejected request lacked

	reference          referenceBucket
	otherDemand        float64       // known demand at the other holders
	otherDemandAt      time.Duration // time of the last exchange with one of them
	holderUnresponsive bool          // a holder was unresponsive at the last exchange for units

	failedRounds int           // consecutive rounds without units
	roundStart   time.Duration // start of the current round over all holders
	hints        hints
	waiters      int
	wakeup       chan struct{} // closed when waiting requests must retry; nil if none waits
}

func (h *holding) share() float64 { return float64(h.units) / float64(siskin.TotalQuotaUnits) }

// setLimits sets the customer's rate and burst from the configuration. It
// clears configured if the customer is not in it.
func (h *holding) setLimits(now time.Duration, view config.View) {
	doc, ok := view.Customer(h.id)
	if h.configured = ok; ok {
		h.refill(now)
		h.rate, h.burst = float64(doc.Rate), float64(doc.Burst)
	}
}

// refill adds the tokens earned since the last call, none if the clock went
// back.
func (h *holding) refill(now time.Duration) {
	share := h.share()
	if now > h.updatedAt {
		h.tokens += h.rate * share * (now - h.updatedAt).Seconds()
		h.updatedAt = now
	}
	h.tokens = min(h.tokens, h.burst*share)
}

// take removes units and their part of the tokens. The caller has called
// refill.
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

// add adds units and tokens. The caller has called refill.
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
