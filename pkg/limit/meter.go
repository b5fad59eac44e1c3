package limit

import (
	"math"
	"time"
)

const (
	// slowWindow is long enough that a few requests do not move units.
	slowWindow = time.Second
	// fastWindow follows demand that moves to another VM.
	fastWindow = 100 * time.Millisecond
)

// meter measures demand in requests per second, refused ones included, over a
// slow and a fast span.
type meter struct {
	slow, fast float64
	updatedAt  time.Duration
}

func (m *meter) add(now time.Duration, n float64) {
	m.decay(now)
	m.slow += n / slowWindow.Seconds()
	m.fast += n / fastWindow.Seconds()
}

func (m *meter) decay(now time.Duration) {
	if now <= m.updatedAt {
		return
	}
	d := float64(now - m.updatedAt)
	m.slow *= math.Exp(-d / float64(slowWindow))
	m.fast *= math.Exp(-d / float64(fastWindow))
	m.updatedAt = now
}

// highEstimate returns the larger estimate: an asker's demand that has just begun.
func (m *meter) highEstimate(now time.Duration) float64 {
	m.decay(now)
	return max(m.slow, m.fast)
}

// minFastCount is the number of requests in the fast span below which it says
// nothing about the end of a demand.
const minFastCount = 4

// lowEstimate returns the smaller estimate: a giver's demand that may just have ended.
func (m *meter) lowEstimate(now time.Duration) float64 {
	m.decay(now)
	if m.slow*fastWindow.Seconds() < minFastCount {
		return m.slow
	}
	return min(m.slow, m.fast)
}
