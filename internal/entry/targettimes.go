package entry

import (
	"maps"
	"sync"
	"time"

	"siskintray.example/siskin"
)

const (
	// keptTimes is the number of recent times that are kept of a target.
	keptTimes = 8
	// minTimes is the number of recent times below which a target is not called
	// slow, since single statements may be.
	minTimes = 3
	// timesWindow is the age up to which a time is recent. It is ten trials, so
	// that the figures of a target that gets nothing but trials stay known.
	timesWindow = 10 * trialInterval
	// maxTimes is the number of entries from which those that are no longer
	// recent are removed, since targets and routes come and go.
	maxTimes = 1024
)

// targetTimes holds the recent times that statements of each route took at each
// target, excluding the wait. It is safe for concurrent use.
type targetTimes struct {
	mu sync.Mutex
	m  map[timesKey]*recentTimes
}

type timesKey struct {
	target siskin.TargetID
	route  siskin.RouteName
}

func newTargetTimes() *targetTimes { return &targetTimes{m: make(map[timesKey]*recentTimes)} }

func (t *targetTimes) record(target siskin.TargetID, route siskin.RouteName, took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := timesKey{target, route}
	r := t.m[key]
	if r == nil {
		if len(t.m) >= maxTimes {
			maps.DeleteFunc(t.m, func(_ timesKey, r *recentTimes) bool { return now.Sub(r.latest()) >= timesWindow })
		}
		r = &recentTimes{}
		t.m[key] = r
	}
	r.add(took, now)
}

// recent returns the least and the mean of the recent times, or zeros when
// there are fewer than minTimes.
func (t *targetTimes) recent(target siskin.TargetID, route siskin.RouteName, now time.Time) (fastest, mean time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.m[timesKey{target, route}]; r != nil {
		return r.figures(now)
	}
	return 0, 0
}
