package limit

import "time"

// referenceBucket is a token bucket with the whole rate and burst of a
// customer, or with a part of them. It is charged for the requests that this
// VM admits. A request for which it lacks tokens exceeds the customer's rate.
type referenceBucket struct {
	tokens    float64
	updatedAt time.Duration
	started   bool
}

// refill adds the tokens earned since the last call. A new bucket is full.
func (w *referenceBucket) refill(now time.Duration, rate, burst float64) {
	switch {
	case !w.started:
		w.tokens, w.updatedAt, w.started = burst, now, true
	case now > w.updatedAt:
		w.tokens += rate * (now - w.updatedAt).Seconds()
		w.updatedAt = now
	}
	w.tokens = min(w.tokens, burst)
}

// take removes the tokens of a request that was admitted or counts as within
// the rate.
func (w *referenceBucket) take(n float64) { w.tokens = max(0, w.tokens-n) }
