package limit

import (
	"math"
	"time"
)

const (
	// slowWindow is long enough that a few requests do not move units.
	slowWindow = time.Second
	// fastWindow is short enough to follow demand that moves to another VM.
	fastWindow = 100 * time.Millisecond
)

// meter measures demand, including rejected requests, in requests per second.
// It keeps exponentially decaying averages over a slow and a fast window.
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

// highEstimate returns the larger average. A requester uses it, since its
// demand may have just begun.
func (m *meter) highEstimate(now time.Duration) float64 {
	m.decay(now)
	return max(m.slow, m.fast)
}

// minFastCount is the number of requests in the fast window below which the
// fast average does not show that demand has ended.
const minFastCount = 4

// lowEstimate returns the smaller average. A donor uses it, since its demand
// may have just ended.
func (m *meter) lowEstimate(now time.Duration) float64 {
	m.decay(now)
	if m.slow*fastWindow.Seconds() < minFastCount {
		return m.slow
	}
	return min(m.slow, m.fast)
}
