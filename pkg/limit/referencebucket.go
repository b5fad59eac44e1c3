package limit

import "time"

// referenceBucket is a token bucket with the whole rate and burst of a customer, or
// with a part of them. It takes what this VM admitted. A request that it refuses
// is above the customer's rate.
type referenceBucket struct {
	tokens  float64
	at      time.Duration
	started bool
}

// refill adds the tokens since the last call. A new bucket is full.
func (w *referenceBucket) refill(now time.Duration, rate, burst float64) {
	switch {
	case !w.started:
		w.tokens, w.at, w.started = burst, now, true
	case now > w.at:
		w.tokens += rate * (now - w.at).Seconds()
		w.at = now
	}
	w.tokens = min(w.tokens, burst)
}

// take removes the tokens of a request that was admitted, or that would have
// been.
func (w *referenceBucket) take(n float64) { w.tokens = max(0, w.tokens-n) }
