package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies summarizes the latency of a set of requests.
type Latencies struct {
	Count         int64
	P50, P99, Max time.Duration
}

// maxLatency is the largest latency that a histogram tells apart.
const maxLatency = 2 * time.Minute

// LatenciesOf summarizes the events that pass the filter.
func LatenciesOf(events []Event, keep func(e *Event) bool) Latencies {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	for i := range events {
		if keep(&events[i]) {
			// A value above the range counts as the largest one.
			_ = h.RecordValue(min(events[i].Latency().Microseconds(), maxLatency.Microseconds()))
		}
	}
	us := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	return Latencies{Count: h.TotalCount(), P50: us(h.ValueAtQuantile(50)), P99: us(h.ValueAtQuantile(99)), Max: us(h.Max())}
}
