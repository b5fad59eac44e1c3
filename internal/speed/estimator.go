package speed

import (
	"math"
	"time"
)

const (
	// meanSpan is the number of samples over which the mean is taken.
	meanSpan = 64
	// maxSamples is the number of independent samples that an exponentially
	// weighted mean over meanSpan samples is worth.
	maxSamples = 2*meanSpan - 1
	// recentSpan and recentSamples are the same for the recent mean, which
	// finds sudden changes.
	recentSpan    = 4
	recentSamples = 2*recentSpan - 1
	// agingTime is the time in which samples lose two thirds of their weight.
	agingTime = 15 * time.Second
	// slowerErrors and fasterErrors are the numbers of standard errors by which
	// the recent mean must differ before it replaces the mean. Less is asked of
	// a target that became faster: a slow target gets few statements, and a
	// wrong conclusion costs only a few more.
	slowerErrors = 4
	fasterErrors = 3
	// priorSpread is the spread of the logarithms of times without
	// measurements, minSpread the least one.
	priorSpread = 0.75
	minSpread   = 0.2
	// varianceSpan is the number of samples over which the spread is taken.
	varianceSpan = 128
	// maxDeviation limits the effect of one sample on the spread, in spreads.
	maxDeviation = 3
	// minTime is the shortest time that is told apart from none.
	minTime = time.Microsecond
)

// Estimator keeps the expected time of one kind of statement at one target and
// its spread. The zero value has no samples. It is not safe for concurrent use.
type Estimator struct {
	mean, recent float64 // of the logarithms of the times in seconds
	variance     float64
	samples      float64
	at           time.Time // time of the last sample
}

// Add adds the time of a statement that succeeded. It reports whether the
// recent statements show a sudden change.
func (e *Estimator) Add(took time.Duration, now time.Time) (changed bool) {
	x := logSeconds(took)
	if e.samples == 0 {
		*e = Estimator{mean: x, recent: x, variance: priorSpread * priorSpread, samples: 1, at: now}
		return false
	}
	e.samples = min(Aged(e.samples, now.Sub(e.at))+1, maxSamples)
	e.at = now
	deviation := x - e.mean
	e.mean += deviation * max(1/e.samples, 1.0/meanSpan)
	e.recent += (x - e.recent) * max(1/e.samples, 1.0/recentSpan)
	e.variance += (min(deviation*deviation, maxDeviation*maxDeviation*e.variance) - e.variance) / varianceSpan
	e.variance = max(e.variance, minSpread*minSpread)
	if change := (e.recent - e.mean) / math.Sqrt(e.variance/recentSamples); change < slowerErrors && change > -fasterErrors {
		return false
	}
	e.mean, e.samples = e.recent, min(e.samples, recentSamples)
	return true
}

// Figures returns the estimate at the given time.
func (e *Estimator) Figures(now time.Time) Figures {
	if e.samples == 0 {
		return Figures{}
	}
	return Figures{Mean: e.mean, Spread: math.Sqrt(e.variance), Samples: Aged(e.samples, now.Sub(e.at)), At: now}
}

// Aged returns the weight of a measurement after a time without new ones.
func Aged(weight float64, age time.Duration) float64 {
	if age <= 0 {
		return weight
	}
	return weight * math.Exp(-float64(age)/float64(agingTime))
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minTime).Seconds()) }
