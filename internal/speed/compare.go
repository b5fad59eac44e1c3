package speed

import (
	"math"
	"time"
)

const (
	// clearErrors is the number of standard errors by which targets must differ
	// to count as differently fast. Targets are compared with each read, so a
	// smaller number would often find a difference by chance.
	clearErrors = 4
	// clearDifference is the least difference of logarithms that counts, which
	// is a factor of 1.25. A full queue of a target makes as much.
	clearDifference = 0.223
	// medianVariance is the variance of a median in terms of that of a mean.
	medianVariance = math.Pi / 2
	// comparedOnStack is the number of targets that are compared without
	// allocation.
	comparedOnStack = 32
)

// Comparison holds the speed of one target among those of its service.
type Comparison struct {
	Figures Figures
	// Factor is the time of the target's statements in terms of that of the
	// middle target of the service. It is 1 unless the difference is clear.
	Factor float64
	// variance is that of the mean of the figures.
	variance float64
}

// Compare sets the factors of all targets of a service. It returns the typical
// time at the middle target, or zero if it is not known.
func Compare(list []Comparison, now time.Time) (middle time.Duration) {
	var buf [comparedOnStack]float64
	means, precision := buf[:0], 0.0
	for i := range list {
		c := &list[i]
		c.Factor = 1
		if c.Figures.Samples > 0 {
			c.variance = c.Figures.errorAt(now)
			means = insert(means, c.Figures.Mean)
			precision += 1 / c.variance
		}
	}
	if len(means) == 0 {
		return 0
	}
	// Of two targets the faster one is the reference.
	reference := means[(len(means)-1)/2]
	for i := range list {
		c := &list[i]
		difference := c.Figures.Mean - reference
		if c.Figures.Samples == 0 || math.Abs(difference) < clearDifference {
			continue
		}
		if difference*difference > clearErrors*clearErrors*(c.variance+medianVariance/precision) {
			c.Factor = math.Exp(difference)
		}
	}
	return time.Duration(math.Exp(reference) * float64(time.Second))
}

// insert adds x to an ascending list.
func insert(list []float64, x float64) []float64 {
	list = append(list, x)
	i := len(list) - 1
	for ; i > 0 && list[i-1] > x; i-- {
		list[i] = list[i-1]
	}
	list[i] = x
	return list
}
