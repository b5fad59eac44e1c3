package lateness

import "time"

const (
	// overloadedFrom is the mean delay from which on a process is overloaded. A
	// statement waits for about four goroutines at its home (request, queue,
	// answer, reply), which takes more than half of an objective of 150 ms then.
	overloadedFrom = 20 * time.Millisecond
	// recoveredBelow is the mean delay below which a process has recovered.
	recoveredBelow = 5 * time.Millisecond
	// minDuration and minSamples are the time and the number of samples for
	// which a mean must be above or below its limit.
	minDuration = time.Second
	minSamples  = 5
	// maxSample limits one sample, so that a suspension of the whole VM, which
	// makes a single timer late, is not an overload.
	maxSample = 100 * time.Millisecond
	// meanSamples is the number of samples after which an earlier one has lost
	// about two thirds of its weight in the mean.
	meanSamples = 8
)

// Detector decides from the delays of timers and goroutines whether a process
// is overloaded. The zero value is ready to use. It is not safe for concurrent
// use.
type Detector struct {
	mean       time.Duration
	overloaded bool
	// since is the first of the latest samples that all speak for a change, and
	// samples is their number.
	since   time.Time
	samples int
}

// Record adds a delay, and reports whether the overload began or ended.
func (d *Detector) Record(now time.Time, delay time.Duration) (changed bool) {
	d.mean += (min(max(delay, 0), maxSample) - d.mean) / meanSamples
	opposite := d.mean > overloadedFrom
	if d.overloaded {
		opposite = d.mean < recoveredBelow
	}
	if !opposite {
		d.samples = 0
		return false
	}
	if d.samples++; d.samples == 1 {
		d.since = now
	}
	if d.samples < minSamples || now.Sub(d.since) < minDuration {
		return false
	}
	d.overloaded, d.samples = !d.overloaded, 0
	return true
}

// Overloaded reports whether the process is overloaded.
func (d *Detector) Overloaded() bool { return d.overloaded }

// State returns the state of the process. An overload that began lasts until
// delays are normal, so that a mean near one of the limits does not make it begin
// and end in turn.
func (d *Detector) State() State {
	switch {
	case !d.overloaded:
		return Normal
	case d.mean > overloadedFrom:
		return Overloaded
	default:
		return Recovering
	}
}

// Mean returns the mean delay of the latest samples.
func (d *Detector) Mean() time.Duration { return d.mean }
