package quota

import "time"

// bucket is a token bucket whose rate and size may change.
type bucket struct {
	tokens float64
	at     time.Time // time up to which tokens are added
}

// fill adds the tokens accrued since the last call and caps them at size.
func (b *bucket) fill(now time.Time, rate, size float64) {
	if b.at.IsZero() {
		b.at = now // a new bucket starts empty
	}
	if d := now.Sub(b.at); d > 0 {
		b.tokens += rate * d.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, size)
}
