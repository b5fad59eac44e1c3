package home

import (
	"sync"
	"time"

	"siskintray.example/siskin"
)

// renewal is the state of lease renewals for a target. All callers that wait
// share the renewal in progress.
type renewal struct {
	mu             sync.Mutex
	done           chan struct{} // closed when the renewal ends; nil when none is in progress
	lastConfirming int           // offset of the replica that confirmed the primary last
	failedAt       time.Time     // end of the last renewal that failed
	failed         bool          // the last renewal failed, and was logged
	claimed        bool          // it found a replica that is claimed or follows another primary
}

func (r *renewal) failedSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failedAt.After(t)
}

// renew starts a renewal of a lease unless one is in progress, and returns a
// channel that is closed when it ends. The target is known to have been the
// primary in the given term or a later one.
func (h *Homes) renew(service siskin.ServiceName, l *pool, term siskin.Term) <-chan struct{} {
	r := &l.renewal
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done != nil {
		return r.done
	}
	done := make(chan struct{})
	r.done = done
	if !h.spawn(func() {
		err := h.askReplicas(service, l, term)
		r.mu.Lock()
		defer r.mu.Unlock()
		if err != nil {
			r.failedAt = h.cfg.Clock.Now()
		}
		r.claimed = siskin.KindOf(err) == siskin.Conflict
		if failed := err != nil; failed != r.failed {
			r.failed = failed
			h.cfg.LeaseConfig.Log.Info().Err(err).Str("Service", string(service)).Str("Target", string(l.target())).
				Bool("Confirmed", !failed).Msg("the replicas' confirmation of a lead changed")
		}
		r.done = nil
		close(done)
	}) {
		r.done = nil
		close(done)
	}
	return done
}

// order returns the offsets of the replicas to query, in groups: first the one
// that confirmed the primary last, if one is enough, then all others in
// parallel.
func (r *renewal) order(replicas, needed int) [][]int {
	first := r.lastConfirming % max(replicas, 1)
	var others []int
	for n := range replicas {
		if n != first || needed > 1 {
			others = append(others, n)
		}
	}
	if replicas == 0 || needed > 1 {
		return [][]int{others}
	}
	return [][]int{{first}, others}
}
