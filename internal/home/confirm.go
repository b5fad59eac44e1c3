package home

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
)

// LeaseConfig holds what Homes needs to tell the only primary from a former one.
type LeaseConfig struct {
	Leases *lease.Leases
	// Fencing says that a target's own answer is a proof of lead, since a promotion
	// takes the lead from the former primary. Otherwise reads rest on leases, too.
	Fencing bool
	// Service looks a service up in the configuration in force.
	Service func(siskin.ServiceName) (siskin.ServiceSpec, bool)
	// Targets returns the targets of a service.
	Targets func(siskin.ServiceName) []siskin.TargetInfo
	// GroupSize returns the number of targets of a service when none is missing.
	GroupSize func(siskin.ServiceName) int
	// Listed returns since when service discovery lists the present run of a target,
	// and when its last list was asked for.
	Listed func(siskin.TargetID) (since, listed time.Time, ok bool)
	// Status asks a target for its state, through its home or directly.
	Status func(context.Context, siskin.TargetID) (Observation, error)
	Log    *log.Logger
}

// renewalBackoff is the time after a failed renewal in which requests are refused
// without another one, so that none waits in vain.
const renewalBackoff = 100 * time.Millisecond

// confirm returns a moment, after the call began, at which the target was the
// only one that could acknowledge commits. The caller still has to see a plain
// transaction begin there.
func (h *Homes) confirm(ctx context.Context, service siskin.ServiceName, l *pool) (at time.Time, ok bool) {
	if h.answerProvesLead() {
		return h.cfg.Clock.Now(), true
	}
	return h.awaitLease(ctx, service, l)
}

// answerProvesLead reports whether the word of a target is a proof of its lead.
func (h *Homes) answerProvesLead() bool { return h.cfg.LeaseConfig == nil || h.cfg.LeaseConfig.Fencing }

// awaitLease returns a moment after the call began, and whether a lease of the target's
// lead covers it. It asks the replicas when none does, or when one ends soon.
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

// leadTerm returns the term that a target is known to lead where proofs need it,
// zero when it is not known.
func (h *Homes) leadTerm(id siskin.TargetID) siskin.Term {
	if h.answerProvesLead() {
		return 0
	}
	return h.cfg.LeaseConfig.Leases.Term(id)
}

// askTerm asks a primary for its term.
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

// ReplicaClaimed reports whether the last question to the replicas of a target found one
// that a change of primary has claimed.
func (h *Homes) ReplicaClaimed(id siskin.TargetID) bool {
	l, ok := h.pools.Get(id)
	if !ok {
		return false
	}
	l.renewal.mu.Lock()
	defer l.renewal.mu.Unlock()
	return l.renewal.claimed
}
