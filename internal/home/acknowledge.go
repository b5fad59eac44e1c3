package home

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
)

// leaseForCommit reports whether a write or a commit may be sent to a target, and asks
// the replicas for a lease until the deadline when there is none. Without a lease its
// acknowledgement could not be passed on: it may come from a replica that has
// forgotten the claim of a change of primary, and be missing at the target that the
// change promotes.
func (h *Homes) leaseForCommit(deadline time.Time, service siskin.ServiceName, l *pool) bool {
	if !h.needsLease(service) {
		return true
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	now, ok := h.awaitLease(ctx, service, l)
	if !ok && h.ReplicaClaimed(l.target()) {
		l.refusals.add(now)
	}
	return ok
}

// needsLease reports whether commits at a service's targets rest on replicas. Those of
// a service that this VM does not know yet may do so.
func (h *Homes) needsLease(service siskin.ServiceName) bool {
	if h.cfg.LeaseConfig == nil {
		return false
	}
	spec, ok := h.cfg.LeaseConfig.Service(service)
	return !ok || lease.Synchronous(spec.SyncReplicas)
}

// commitAck is what the acknowledgement of a commit is worth.
type commitAck struct {
	// durable says that no promotion can lose the commit. Its outcome is unknown to the
	// caller otherwise.
	durable bool
	// provesLead says that it proves the lead of the target.
	provesLead bool
}

// confirmCommit takes over the position of a commit that was sent after the moment
// asked, and that the target confirmCommit. A commit that took longer than its lease is
// covered by another one, for which the replicas are asked.
func (h *Homes) confirmCommit(service siskin.ServiceName, l *pool, p siskin.Position, asked time.Time) commitAck {
	if !h.needsLease(service) {
		return commitAck{durable: true, provesLead: h.answerProvesLead()}
	}
	leases, id, now := h.cfg.LeaseConfig.Leases, l.target(), h.cfg.Clock.Now()
	durable := leases.Extend(id, p.Term, asked, now)
	// A renewal that is in progress may have begun before the acknowledgement and
	// fail for a reason that is over.
	for i := 0; i < 2 && !durable; i++ {
		<-h.renew(service, l, p.Term)
		durable = leases.Extend(id, p.Term, asked, now)
	}
	if !durable {
		h.cfg.LeaseConfig.Log.Warn().Str("Service", string(service)).Str("Target", string(id)).
			Uint64("Term", uint64(p.Term)).Uint64("LSN", uint64(p.LSN)).
			Msg("a commit was acknowledged and the replicas do not confirm the lead; its outcome is unknown")
		return commitAck{}
	}
	l.refusals.clear()
	return commitAck{durable: true, provesLead: true}
}
