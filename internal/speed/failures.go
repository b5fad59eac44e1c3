package speed

import (
	"math"
	"time"
)

const (
	// failureSpan is the number of statements over which the share of failures
	// is taken.
	failureSpan = 8
	// failingShare is the share of failures above which a target counts as
	// failing, which two in a row reach. It counts as such until the share is
	// below recoveredShare, so that one success is not enough.
	failingShare   = 0.2
	recoveredShare = 0.1
)

// Failures keeps the recent share of statements that failed at a target. The
// zero value has none.
type Failures struct {
	share   float64
	failing bool
	at      time.Time
}

// Add records the outcome of a statement.
func (f *Failures) Add(failed bool, now time.Time) {
	share := f.Share(now)
	f.failing = f.Failing(now)
	outcome := 0.0
	if failed {
		outcome = 1
	}
	f.share, f.at = share+(outcome-share)/failureSpan, now
	f.failing = f.failing || f.share > failingShare
}

// Share returns the share of statements that failed. It ages like the
// estimates of times.
func (f *Failures) Share(now time.Time) float64 {
	if f.share == 0 {
		return 0
	}
	return f.share * math.Exp(-max(0, float64(now.Sub(f.at)))/float64(agingTime))
}

// Failing reports whether a target fails too many statements.
func (f *Failures) Failing(now time.Time) bool {
	return f.failing && f.Share(now) > recoveredShare
}
