package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/retry"
)

// Timing of updates of the platform's records of primaries.
const (
	// recordDelay keeps record updates out of a failover and combines several
	// consecutive changes into one update.
	recordDelay = time.Second
	// recordRankDelay is the additional delay per rank of a VM among those that
	// watch the group. One VM usually writes; the next one does so if the first
	// cannot.
	recordRankDelay = 5 * time.Second
	// recordTimeout bounds one attempt. It exceeds the time that two calls wait
	// for the daemon's call budget.
	recordTimeout = 15 * time.Second
)

// recordBackoff delays attempts after a failure. Its maximum bounds how long a
// record stays outdated after an outage of the platform.
var recordBackoff = retry.Backoff{Base: time.Second, Max: 30 * time.Second}

// records updates the platform's record of each watched group's primary after a
// change. No request or failover waits for it, and several VMs may race.
type records struct {
	self  siskin.VM
	clock siskin.Clock
	store *recordStore
	log   *log.Logger
	// rank returns this VM's index among the VMs that watch the group.
	rank func(service siskin.ServiceName) int

	mu     sync.Mutex
	groups map[siskin.ServiceName]*recordState
	wake   chan struct{}
}

// recordState is what this VM knows about one group and its record.
type recordState struct {
	term     siskin.Term // newest term that this VM knows
	primary  siskin.TargetID
	recorded siskin.Term // term of the record when it was last read or written
	failures int
	due      time.Time
}

func newRecords(cfg Config, rank func(siskin.ServiceName) int) *records {
	return &records{
		self: cfg.Self, clock: cfg.Clock, log: cfg.Log, rank: rank,
		store:  &recordStore{platform: cfg.Platform, self: cfg.Self},
		groups: make(map[siskin.ServiceName]*recordState), wake: make(chan struct{}, 1),
	}
}

// observe records a view of a watched group. An empty view means that the group
// is no longer watched. It does not block.
func (r *records) observe(service siskin.ServiceName, view *siskin.GroupView) {
	if r.store.platform == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.groups[service]
	switch {
	case len(view.Targets) == 0:
		delete(r.groups, service)
		return
	case view.Primary == "" || s != nil && view.Term <= s.term:
		return
	case s == nil:
		s = new(recordState)
		r.groups[service] = s
	}
	s.term, s.primary, s.failures = view.Term, view.Primary, 0
	rankDelay := time.Duration(r.rank(service)) * recordRankDelay
	s.due = r.clock.Now().Add(recordDelay + rankDelay + time.Duration(rand.Int64N(int64(recordDelay))))
	select {
	case r.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// recorded returns the term of a group's record, zero if unknown.
func (r *records) recorded(service siskin.ServiceName) siskin.Term {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.groups[service]; s != nil {
		return s.recorded
	}
	return 0
}

// run updates due records one at a time until ctx is done.
func (r *records) run(ctx context.Context) {
	for ctx.Err() == nil {
		service, s, wait := r.next()
		if wait > 0 {
			select {
			case <-r.clock.After(wait):
			case <-r.wake:
			case <-ctx.Done():
			}
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, recordTimeout)
		recorded, err := r.store.advance(ctx, service, s.term, s.primary)
		cancel()
		r.finishAttempt(service, recorded, err)
	}
}

// idleWait is the time between two checks when no record is outdated.
const idleWait = time.Minute

// next returns the group whose record is due first and the time until then.
func (r *records) next() (first siskin.ServiceName, state recordState, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, s := range r.groups {
		if s.recorded < s.term && (first == "" || s.due.Before(state.due)) {
			first, state = service, *s
		}
	}
	if first == "" {
		return "", recordState{}, idleWait
	}
	return first, state, state.due.Sub(r.clock.Now())
}

// finishAttempt records the result of an attempt.
func (r *records) finishAttempt(service siskin.ServiceName, recorded siskin.Term, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.groups[service]
	if s == nil {
		return
	}
	if err != nil {
		s.failures++
		s.due = r.clock.Now().Add(recordBackoff.Base/2 + recordBackoff.Delay(s.failures, rand.Int64N))
		if r.log != nil {
			r.log.Debug().Err(err).Str("Service", string(service)).Msg("record of the primary not updated; will retry")
		}
		return
	}
	s.recorded, s.failures = max(s.recorded, recorded), 0
}
