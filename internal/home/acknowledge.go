package home

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
)

// leaseForCommit reports whether a write or a commit may be sent to a target.
// It requests a lease from the replicas until the deadline when there is none.
// Without a lease the acknowledgement could not be passed on: it may come from
// a replica that has lost the claim of a change of primary, and the write would
// be missing on the target that the change promotes.
func (h *Homes) leaseForCommit(deadline time.Time, service siskin.ServiceName, l *pool) bool {
	if !h.needsLease(service) {
		return true
	}
	if h.listState() == siskin.ListExpired {
		return false
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	now, ok := h.awaitLease(ctx, service, l)
	if !ok && h.ReplicaClaimed(l.target()) {
		l.refusals.add(now)
	}
	return ok && h.replicasKeepUp(ctx, service, l)
}

// needsLease reports whether commits of a service depend on replicas. It is
// true for a service that this VM does not know yet.
func (h *Homes) needsLease(service siskin.ServiceName) bool {
	if h.cfg.LeaseConfig == nil {
		return false
	}
	spec, ok := h.cfg.LeaseConfig.Service(service)
	return !ok || lease.Synchronous(spec.SyncReplicas)
}

// commitAck describes what the acknowledgement of a commit guarantees.
type commitAck struct {
	// durable reports that no promotion can lose the commit. Otherwise its
	// outcome is unknown to the caller.
	durable bool
	// provesPrimary reports that it proves that the target is the primary.
	provesPrimary bool
}

// confirmCommit checks whether a lease covers a commit that was sent after the
// time asked and acknowledged at position p. When the commit took longer than
// its lease, it requests another lease from the replicas. It waits until the
// deadline for replicas that a change of primary counts to receive the commit.
func (h *Homes) confirmCommit(service siskin.ServiceName, l *pool, p siskin.Position, asked, deadline time.Time) commitAck {
	if !h.needsLease(service) {
		return commitAck{durable: true, provesPrimary: h.answerSuffices()}
	}
	leases, id, now := h.cfg.LeaseConfig.Leases, l.target(), h.cfg.Clock.Now()
	durable := leases.Covers(id, p.Term, now)
	// A renewal in progress may have started before the acknowledgement and
	// fail for a reason that no longer exists.
	for i := 0; i < 2 && !durable; i++ {
		<-h.renew(service, l, p.Term)
		durable = leases.Covers(id, p.Term, now)
	}
	if !durable {
		h.cfg.LeaseConfig.Log.Warn().Str("Service", string(service)).Str("Target", string(id)).
			Uint64("Term", uint64(p.Term)).Uint64("LSN", uint64(p.LSN)).
			Msg("commit was acknowledged but the replicas did not confirm the primary; its outcome is unknown")
		return commitAck{}
	}
	if !h.awaitReceipt(service, l, p, asked, deadline) {
		h.cfg.LeaseConfig.Log.Warn().Str("Service", string(service)).Str("Target", string(id)).
			Uint64("Term", uint64(p.Term)).Uint64("LSN", uint64(p.LSN)).
			Msg("commit was acknowledged but the listed replicas that stay have not received it; its outcome is unknown")
		return commitAck{}
	}
	leases.Extend(id, p.Term, asked, now)
	l.refusals.clear()
	return commitAck{durable: true, provesPrimary: true}
}
