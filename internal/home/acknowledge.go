package home

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
)

// mayCommitBy reports whether a write or a commit may be sent to a target, and asks
// the replicas for a lease until the deadline when there is none. Without a lease its
// acknowledgement could not be passed on: it may come from a replica that has
// forgotten the claim of a change of primary, and be missing at the target that the
// change promotes.
func (h *Homes) mayCommitBy(deadline time.Time, service siskin.ServiceName, l *lane) bool {
	if !h.needsLease(service) {
		return true
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	now, ok := h.covered(ctx, service, l)
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

// ack is what the acknowledgement of a commit is worth.
type ack struct {
	// kept says that no promotion can lose the commit. Its outcome is unknown to the
	// caller otherwise.
	kept bool
	// proof says that it proves the lead of the target.
	proof bool
}

// acknowledged takes over the position of a commit that was sent after the moment
// asked, and that the target acknowledged. A commit that took longer than its lease is
// covered by another one, for which the replicas are asked.
func (h *Homes) acknowledged(service siskin.ServiceName, l *lane, p siskin.Position, asked time.Time) ack {
	if !h.needsLease(service) {
		return ack{kept: true, proof: h.ownProof()}
	}
	leases, id, now := h.cfg.LeaseConfig.Leases, l.target(), h.cfg.Clock.Now()
	kept := leases.Extend(id, p.Term, asked, now)
	// A renewal that is in progress may have begun before the acknowledgement and
	// fail for a reason that is over.
	for i := 0; i < 2 && !kept; i++ {
		<-h.renew(service, l, p.Term)
		kept = leases.Extend(id, p.Term, asked, now)
	}
	if !kept {
		h.cfg.LeaseConfig.Log.Warn().Str("Service", string(service)).Str("Target", string(id)).
			Uint64("Term", uint64(p.Term)).Uint64("LSN", uint64(p.LSN)).
			Msg("a commit was acknowledged and the replicas do not confirm the lead; its outcome is unknown")
		return ack{}
	}
	l.refusals.clear()
	return ack{kept: true, proof: true}
}
