package home

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
)

// LeaseConfig holds the dependencies that Homes needs to distinguish the
// current primary from a former one.
type LeaseConfig struct {
	Leases *lease.Leases
	// Fencing reports that a target's own answer proves that it is the primary,
	// since a promotion demotes the former primary. Otherwise reads need a
	// lease, too.
	Fencing bool
	// Service returns the specification of a service in the configuration in
	// force.
	Service func(siskin.ServiceName) (siskin.ServiceSpec, bool)
	// Targets returns the targets of a service.
	Targets func(siskin.ServiceName) []siskin.TargetInfo
	// GroupSize returns the full number of targets of a service, including
	// those that are not listed at the moment.
	GroupSize func(siskin.ServiceName) int
	// Listed returns the time since which service discovery has listed the
	// present run of a target, and the time of the request for its latest list.
	Listed func(siskin.TargetID) (since, listed time.Time, ok bool)
	// ListState says how far the list of targets can be relied on, and Settled
	// whether every VM that may order a change of primary knows a target. Lists
	// are current and targets settled if they are nil.
	ListState func() siskin.ListState
	Settled   func(siskin.TargetID) bool
	// Covered records that the staying replicas have every commit that the
	// given primary acknowledged before asked. It is nil where targets never
	// leave.
	Covered func(name siskin.ServiceName, primary siskin.TargetID, asked time.Time)
	// Status queries the state of a target, through its home or directly.
	Status func(context.Context, siskin.TargetID) (Observation, error)
	Log    *log.Logger
}

// renewalBackoff is the time after a failed renewal in which requests are
// refused without another renewal, so that they do not wait for one that is
// likely to fail.
const renewalBackoff = 100 * time.Millisecond

// confirm returns a time after the start of the call at which only this target
// could acknowledge commits. The caller must still check that the target
// accepts a read-write transaction.
func (h *Homes) confirm(ctx context.Context, service siskin.ServiceName, l *pool) (at time.Time, ok bool) {
	if h.answerSuffices() {
		return h.cfg.Clock.Now(), true
	}
	return h.awaitLease(ctx, service, l)
}

// answerSuffices reports whether the answer of a target alone proves that it
// is the primary.
func (h *Homes) answerSuffices() bool { return h.cfg.LeaseConfig == nil || h.cfg.LeaseConfig.Fencing }

// awaitLease returns a time after the start of the call, and whether a lease of
// the target covers that time. It renews the lease when it has expired, or in
// the background when it expires soon.
func (h *Homes) awaitLease(ctx context.Context, service siskin.ServiceName, l *pool) (at time.Time, ok bool) {
	at = h.cfg.Clock.Now()
	id := l.target()
	if age := h.cfg.LeaseConfig.Leases.Age(id, at); age < lease.TTL {
		if age > lease.RenewAfter {
			h.renew(service, l, 0)
		}
		return at, true
	}
	if l.renewal.failedSince(at.Add(-renewalBackoff)) {
		return at, false
	}
	select {
	case <-h.renew(service, l, 0):
	case <-ctx.Done():
	}
	at = h.cfg.Clock.Now()
	return at, h.cfg.LeaseConfig.Leases.Valid(id, at)
}

// primaryTerm returns the term in which a target is known to be the primary, if
// proofs need a lease. It is zero otherwise, or when the term is not known.
func (h *Homes) primaryTerm(id siskin.TargetID) siskin.Term {
	if h.answerSuffices() {
		return 0
	}
	return h.cfg.LeaseConfig.Leases.Term(id)
}

// askTerm queries a primary for its term.
func (h *Homes) askTerm(ctx context.Context, id siskin.TargetID) (siskin.Term, error) {
	o, err := h.status(ctx, id, replicaTimeout)
	if err == nil && !o.Status.Primary {
		err = siskin.NewError(siskin.Conflict, "target %s is a replica", id)
	}
	return o.Status.Term, err
}

func (h *Homes) status(ctx context.Context, id siskin.TargetID, limit time.Duration) (Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return h.cfg.LeaseConfig.Status(ctx, id)
}

// ReplicaClaimed reports whether the last renewal for a target found a replica
// that is claimed by a change of primary or follows another primary.
func (h *Homes) ReplicaClaimed(id siskin.TargetID) bool {
	l, ok := h.pools.Get(id)
	if !ok {
		return false
	}
	l.renewal.mu.Lock()
	defer l.renewal.mu.Unlock()
	return l.renewal.claimed
}
