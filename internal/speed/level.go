package speed

import (
	"math"
	"time"
)

// level holds the times of statements at a number of running ones.
type level struct {
	mean, recent, variance float64 // of the logarithms
	running                float64 // mean number of running statements, at most the slots
	samples                int
}

// add adds a time. It reports whether the recent times show a sudden change at
// this level.
func (l *level) add(running int, took time.Duration) (changed bool) {
	x := logSeconds(took)
	if l.samples == 0 {
		*l = level{mean: x, recent: x, variance: levelVariance, running: float64(running)}
	}
	l.samples++
	gain := 1 / float64(min(l.samples, levelSpan))
	deviation := x - l.mean
	l.mean += deviation * gain
	l.recent += (x - l.recent) * max(gain, 1.0/recentSpan)
	l.running += (float64(running) - l.running) * gain
	l.variance += (min(deviation*deviation, maxDeviation*maxDeviation*l.variance) - l.variance) / (2 * levelSpan)
	return math.Abs(l.recent-l.mean) > slowerErrors*math.Sqrt(l.variance/recentSamples)
}

// error returns the variance of the mean.
func (l *level) error() float64 { return l.variance / float64(min(l.samples, 2*levelSpan-1)) }
