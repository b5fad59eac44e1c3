package entry

import (
	"maps"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// trialInterval is the time between two trials of a target at which requests are
// refused. It is the interval at which the watcher of a primary probes it.
const trialInterval = 200 * time.Millisecond

// maxAttemptTimes is the number of targets from which those without a recent
// attempt are forgotten, since targets come and go.
const maxAttemptTimes = 1024

// reachability records which data centres answered the homes outside of them,
// and when the last attempt at each target began. It is safe for concurrent use.
type reachability struct {
	mu          sync.Mutex
	dataCentres map[siskin.DataCentreID]contact
	attempts    map[siskin.TargetID]time.Time
}

func newReachability() *reachability {
	return &reachability{dataCentres: make(map[siskin.DataCentreID]contact), attempts: make(map[siskin.TargetID]time.Time)}
}

// record records whether a target of a data centre answered a home outside of
// it.
func (r *reachability) record(dc siskin.DataCentreID, answered bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.dataCentres[dc]
	c.add(answered, now)
	r.dataCentres[dc] = c
}

// contact returns the last attempts at the targets of a data centre.
func (r *reachability) contact(dc siskin.DataCentreID) contact {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dataCentres[dc]
}

// recordAttempt records that an attempt at a target began.
func (r *reachability) recordAttempt(id siskin.TargetID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.attempts) >= maxAttemptTimes {
		maps.DeleteFunc(r.attempts, func(_ siskin.TargetID, at time.Time) bool { return now.Sub(at) >= trialInterval })
	}
	r.attempts[id] = now
}

// takeTrial reports whether a trial of a target is due, which no attempt has
// preceded for trialInterval, and records the trial.
func (r *reachability) takeTrial(id siskin.TargetID, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.attempts[id]) < trialInterval {
		return false
	}
	r.attempts[id] = now
	return true
}
