package fairq

import "time"

// ewmaSpan is the number of values after which an old value has lost about two
// thirds of its weight.
const ewmaSpan = 8

// ewma is an exponentially weighted moving average.
type ewma struct {
	mean  time.Duration
	count int
}

func (e *ewma) add(d time.Duration) {
	e.count++
	e.mean += (d - e.mean) / time.Duration(min(e.count, ewmaSpan))
}
