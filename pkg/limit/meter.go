package limit

import (
	"math"
	"time"
)

const (
	// slowSpan is long enough that a few requests do not move units.
	slowSpan = time.Second
	// fastSpan follows demand that moves to another VM.
	fastSpan = 100 * time.Millisecond
)

// meter measures demand in requests per second, refused ones included, over a
// slow and a fast span.
type meter struct {
	slow, fast float64
	at         time.Duration
}

func (m *meter) add(now time.Duration, n float64) {
	m.decay(now)
	m.slow += n / slowSpan.Seconds()
	m.fast += n / fastSpan.Seconds()
}

func (m *meter) decay(now time.Duration) {
	if now <= m.at {
		return
	}
	d := float64(now - m.at)
	m.slow *= math.Exp(-d / float64(slowSpan))
	m.fast *= math.Exp(-d / float64(fastSpan))
	m.at = now
}

// high returns the larger estimate: an asker's demand that has just begun.
func (m *meter) high(now time.Duration) float64 {
	m.decay(now)
	return max(m.slow, m.fast)
}

// fastCount is the number of requests in the fast span below which it says
// nothing about the end of a demand.
const fastCount = 4

// low returns the smaller estimate: a giver's demand that may just have ended.
func (m *meter) low(now time.Duration) float64 {
	m.decay(now)
	if m.slow*fastSpan.Seconds() < fastCount {
		return m.slow
	}
	return min(m.slow, m.fast)
}
