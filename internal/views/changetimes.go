package views

import (
	"slices"
	"time"

	"siskintray.example/siskin"
)

const (
	// keptChanges is the number of changes of primary whose durations are kept.
	keptChanges = 8
	// maxChangeTime is the time between two proofs above which this VM is taken
	// to have been cut off rather than to have seen one change.
	maxChangeTime = 3 * time.Second
	// defaultChangeTime is the expected duration without any measurement.
	defaultChangeTime = time.Second
	// overdueDivisor divides the time that a change has taken to give the
	// least time that it is expected to take on. The estimate so grows with a
	// change that lasts longer than the others did.
	overdueDivisor = 4
)

// changeTimes holds the durations of the recent changes of primary of all
// services, each from the last proof of the old primary to the first one of the
// new primary.
type changeTimes struct {
	recent [keptChanges]time.Duration
	n      int
}

func (c *changeTimes) add(d time.Duration) {
	if d <= 0 || d > maxChangeTime {
		return
	}
	c.recent[c.n%keptChanges] = d
	c.n++
}

// median returns the median duration, or defaultChangeTime without any.
func (c *changeTimes) median() time.Duration {
	n := min(c.n, keptChanges)
	if n == 0 {
		return defaultChangeTime
	}
	sorted := c.recent
	slices.Sort(sorted[:n])
	return sorted[n/2]
}

// ExpectedChange returns the time that a service without a usable primary is
// expected to remain so. It counts from the last proof of its primary.
func (v *Views) ExpectedChange(name siskin.ServiceName, now time.Time) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	expected := v.changeTimes.median()
	s := v.services[name]
	if s == nil || s.proof.Target == "" {
		return expected
	}
	return ExpectedRest(now.Sub(s.proof.At), expected)
}

// ExpectedRest returns the time that an outage is expected to last on after it
// has lasted for elapsed, if such outages last for usual.
func ExpectedRest(elapsed, usual time.Duration) time.Duration {
	return max(usual-elapsed, elapsed/overdueDivisor)
}
