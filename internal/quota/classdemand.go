package quota

import (
	"math"
	"time"

	"siskintray.example/siskin"
)

const (
	// demandTime is the time after which measured demand has lost two thirds of
	// its weight.
	demandTime = time.Second
	// reserveTime is the time for whose demand tokens are kept back. Tokens that
	// a VM takes ahead of demand expire after the same time.
	reserveTime = grantTTL
)

// classDemand measures demand by class as counts that decay exponentially.
type classDemand struct {
	counts [siskin.PriorityClasses]float64
	at     time.Time // time up to which counts are decayed
}

func (d *classDemand) decay(now time.Time) {
	if t := now.Sub(d.at); t > 0 {
		factor := math.Exp(-t.Seconds() / demandTime.Seconds())
		for i := range d.counts {
			d.counts[i] *= factor
		}
		d.at = now
	}
}

func (d *classDemand) add(now time.Time, class siskin.PriorityClass, n float64) {
	d.decay(now)
	d.counts[class] += n / demandTime.Seconds()
}

// moreUrgent returns the demand of the classes that are more urgent than class,
// per second.
func (d *classDemand) moreUrgent(now time.Time, class siskin.PriorityClass) float64 {
	d.decay(now)
	sum := 0.0
	for _, n := range d.counts[:class] {
		sum += n
	}
	return sum
}

// total returns the demand of all classes, per second.
func (d *classDemand) total(now time.Time) float64 { return d.moreUrgent(now, siskin.PriorityClasses) }

// reserveOf returns the tokens of a bucket that a request of the class leaves to
// more urgent ones: those that they need within reserveTime, and at most half of
// the bucket. A small bucket can still hold a token beside them.
func reserveOf(d *classDemand, now time.Time, class siskin.PriorityClass, size float64) float64 {
	return min(d.moreUrgent(now, class)*reserveTime.Seconds(), size/2, max(0, size-1))
}
