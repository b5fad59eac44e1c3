package speed

import (
	"math"
	"sync"
	"time"
)

// Target holds what a home has learned about one target. It is safe for
// concurrent use.
type Target struct {
	mu      sync.Mutex
	running int
	times   [Kinds]Estimator
	// usual holds the time of each kind when it was first seen. Times in terms
	// of it are those of one kind, whatever statements arrive.
	usual [Kinds]float64
	limit Limit
	apply func(limit int) // nil if the limit is fixed
	last  int             // the last limit that was applied
}

// NewTarget returns a Target without measurements. Its limit is at most
// highest. Each change of the limit is passed to apply, which must not call the
// Target. If apply is nil, the limit stays at highest.
func NewTarget(slots, highest int, now time.Time, apply func(limit int)) *Target {
	t := &Target{apply: apply}
	t.reset(slots, highest, now)
	t.last = highest
	return t
}

// Reset forgets all measurements, such as after a restart of the target.
func (t *Target) Reset(slots, highest int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reset(slots, highest, now)
	if t.apply != nil {
		t.applyLimit()
	}
}

func (t *Target) reset(slots, highest int, now time.Time) {
	t.times, t.usual = [Kinds]Estimator{}, [Kinds]float64{}
	t.limit = newLimit(max(slots, 1), max(highest, 1), now)
}

// Begin counts a statement that is sent, and returns the number of statements
// that run then.
func (t *Target) Begin() (running int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	return t.running
}

// End counts a statement that was answered or lost.
func (t *Target) End() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// Add records the time of a statement that succeeded, which began as the given
// number of running ones. It reports whether the times of its kind show a sudden
// change.
func (t *Target) Add(k Kind, running int, took time.Duration, now time.Time) (changed bool) {
	if k <= None || k >= Kinds {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed = t.times[k].Add(took, now)
	if t.usual[k] == 0 {
		t.usual[k] = t.times[k].mean
	}
	// In seconds times the usual time of the kind.
	relative := time.Duration(float64(took) * math.Exp(-t.usual[k]))
	if t.apply != nil {
		t.limit.Add(running, relative, now)
		t.applyLimit()
	}
	return changed
}

// Update continues the trials of the limit while no statements end.
func (t *Target) Update(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.apply != nil {
		t.limit.Update(now)
		t.applyLimit()
	}
}

// applyLimit passes the limit on. It is called with mu held, so that limits are
// applied in order.
func (t *Target) applyLimit() {
	if n := t.limit.Current(); n != t.last {
		t.last = n
		t.apply(n)
	}
}

// Figures returns the estimate for a kind of statement.
func (t *Target) Figures(k Kind, now time.Time) Figures {
	if k <= None || k >= Kinds {
		return Figures{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.times[k].Figures(now)
}

// Report returns what other VMs are told about a kind of statement.
func (t *Target) Report(k Kind, now time.Time) Report {
	f := t.Figures(k, now)
	return NewReport(f, t.Limit(), now)
}

// Limit returns the number of statements that run at a time.
func (t *Target) Limit() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit.Current()
}
