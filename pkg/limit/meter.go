package limit

import (
	"math"
	"time"
)

// meterSpan is the time over which demand is averaged. It is short enough to
// follow demand that moves to another VM within a second, and long enough that
// a few requests do not move units.
const meterSpan = time.Second

// meter measures demand in requests per second, refused ones included.
type meter struct {
	value float64
	at    time.Duration
}

func (m *meter) add(now time.Duration, n float64) {
	m.value = m.get(now) + n/meterSpan.Seconds()
	m.at = max(m.at, now)
}

func (m *meter) get(now time.Duration) float64 {
	if now <= m.at || m.value == 0 {
		return m.value
	}
	return m.value * math.Exp(-float64(now-m.at)/float64(meterSpan))
}
