package speed

import (
	"math"
	"time"
)

// Figures are what is known about the time of one kind of statement at one
// target. The zero value means that nothing is known.
type Figures struct {
	// Mean and Spread are the mean and the standard deviation of the logarithms
	// of the times in seconds.
	Mean, Spread float64
	// Samples is the number of independent samples that the mean is worth at
	// the time At.
	Samples float64
	At      time.Time
}

// Typical returns the time that half of the statements exceed.
func (f Figures) Typical() time.Duration {
	if f.Samples == 0 {
		return 0
	}
	return time.Duration(math.Exp(f.Mean) * float64(time.Second))
}

// Expected returns the expected time, or zero if nothing is known.
func (f Figures) Expected() time.Duration {
	return time.Duration(float64(f.Typical()) * math.Exp(f.Spread*f.Spread/2))
}

// errorAt returns the variance of the mean at the given time. It is infinite
// if nothing is known.
func (f *Figures) errorAt(now time.Time) float64 {
	if f.Samples == 0 {
		return math.Inf(1)
	}
	return f.Spread * f.Spread / Aged(f.Samples, now.Sub(f.At))
}
