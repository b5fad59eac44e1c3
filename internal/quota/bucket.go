package quota

import "time"

// bucket is a token bucket whose rate and size may change.
type bucket struct {
	tokens float64
	at     time.Time // until when tokens are counted
}

// fill adds the tokens since the last call and cuts them to the size.
func (b *bucket) fill(now time.Time, rate, size float64) {
	if b.at.IsZero() {
		b.at = now // a new bucket is empty
	}
	if d := now.Sub(b.at); d > 0 {
		b.tokens += rate * d.Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, size)
}
