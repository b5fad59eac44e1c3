package speed

import (
	"math"
	"time"
)

const (
	// growth is the part of a proportional growth of the time with the number
	// of running statements from which more of them are of no use. With 1, the
	// throughput would be the same with fewer; below, it gains little.
	growth = 0.6
	// suspicionErrors is the number of standard errors by which the time must
	// grow before a trial, and growthErrors that by which it must fall during
	// the trial. The first is tested with each statement, so a smaller number
	// would often be exceeded by chance, and a trial delays statements.
	suspicionErrors = 5
	growthErrors    = 2.5
	// levelSamples is the number of samples of each level before a trial,
	// trialSamples that of each half of the trial, and minTrialSamples that of
	// the first half when its time is over.
	levelSamples    = 24
	trialSamples    = 24
	minTrialSamples = 12
	// levelSpan is the number of samples over which the time of a level is taken.
	levelSpan = 64
	// levelVariance is the variance of the logarithms of times without
	// measurements.
	levelVariance = priorSpread * priorSpread
	// minRatio is the least ratio of the numbers of running statements that is
	// assumed.
	minRatio = 1.25
	// fewTime and fullTime limit the halves of a trial when few statements
	// arrive. Only the first delays statements.
	fewTime  = time.Second
	fullTime = 5 * time.Second
	// raiseAfter is the time after a change of the limit until it is raised by
	// one. It doubles up to maxRaiseAfter each time that the limit has to be
	// lowered again before it has stayed for heldFor.
	raiseAfter    = 2 * time.Second
	maxRaiseAfter = 10 * time.Second
	heldFor       = 30 * time.Second
)

// Limit is the adaptive limit on the number of statements that run at a target
// at a time. Slow targets have many running statements, whether these are the
// reason or not. So when the time is seen to grow with the number of running
// statements, there is a trial: the limit is halved for a few statements and
// restored for as many. It is halved for good only if the second ones are slower
// again. It is not safe for concurrent use.
type Limit struct {
	slots, highest int
	limit          int
	stage          stage
	stageEnd       time.Time
	changedAt      time.Time
	raiseAfter     time.Duration
	full, few      level
}

// newLimit returns a limit that is at its highest value.
func newLimit(slots, highest int, now time.Time) Limit {
	return Limit{slots: slots, highest: highest, limit: highest, changedAt: now, raiseAfter: raiseAfter}
}

// Current returns the number of statements to run at a time.
func (l *Limit) Current() int {
	if l.stage == trialFew {
		return l.fewer()
	}
	return l.limit
}

func (l *Limit) fewer() int { return max(1, l.limit/2) }

// Add records the time of a statement that began as the given number of running
// ones, in terms of the usual time of its kind.
func (l *Limit) Add(running int, took time.Duration, now time.Time) {
	// Statements beyond the slots wait at the target.
	if running > l.slots {
		took = took * time.Duration(l.slots) / time.Duration(running)
	}
	changed := false
	switch {
	case running <= l.fewer():
		changed = l.few.add(min(running, l.slots), took)
	case running >= l.limit:
		changed = l.full.add(min(running, l.slots), took)
	}
	if changed {
		// The target became slower or faster, so that earlier times do not tell
		// what more statements do to it.
		l.forget()
	}
	l.Update(now)
}

// Update begins and ends trials, and raises the limit when its time has come.
func (l *Limit) Update(now time.Time) {
	switch {
	case l.stage != noTrial:
		l.continueTrial(now)
	case l.suspected():
		l.begin(trialFew, now)
	case l.limit < l.highest && now.Sub(l.changedAt) >= l.raiseAfter:
		l.set(l.limit+1, now)
	}
}

// suspected reports whether the time seems to grow with the number of running
// statements.
func (l *Limit) suspected() bool {
	return l.limit > 1 && min(l.full.samples, l.few.samples) >= levelSamples && l.grows(suspicionErrors)
}

// begin starts a stage of a trial. All samples of a trial are new: those before
// it are the ones that happened to differ.
func (l *Limit) begin(s stage, now time.Time) {
	l.stage, l.stageEnd = s, now.Add(fullTime)
	if s == trialFew {
		l.stageEnd = now.Add(fewTime)
		l.few = level{}
	}
	l.full = level{}
}

// continueTrial ends a stage of a trial. A trial in which too few statements
// arrive has no result.
func (l *Limit) continueTrial(now time.Time) {
	over := !now.Before(l.stageEnd)
	switch {
	case l.stage == trialFew && (l.few.samples >= trialSamples || over && l.few.samples >= minTrialSamples):
		l.begin(trialFull, now)
	case l.stage == trialFull && l.full.samples >= trialSamples && l.grows(growthErrors):
		l.lower(now)
	case over || l.full.samples >= trialSamples:
		l.forget()
	}
}

// forget ends a trial without a result and forgets the times of all levels.
func (l *Limit) forget() { l.stage, l.full, l.few = noTrial, level{}, level{} }

// lower halves the limit.
func (l *Limit) lower(now time.Time) {
	if now.Sub(l.changedAt) < heldFor {
		l.raiseAfter = min(2*l.raiseAfter, maxRaiseAfter)
	} else {
		l.raiseAfter = raiseAfter
	}
	l.set(l.fewer(), now)
}

func (l *Limit) set(n int, now time.Time) {
	l.limit, l.changedAt = n, now
	l.forget()
}

// grows reports whether the time at the limit exceeds that with fewer
// statements by so much that the limit is of little use.
func (l *Limit) grows(errors float64) bool {
	difference := l.full.mean - l.few.mean
	return difference > errors*math.Sqrt(l.full.error()+l.few.error()) &&
		difference > growth*math.Log(max(l.full.running/l.few.running, minRatio))
}
