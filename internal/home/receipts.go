package home

import (
	"context"
	"slices"
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
)

// receiptPollInterval is the time between two polls of the replicas while a
// commit waits for them.
const receiptPollInterval = 20 * time.Millisecond

// receiptGrace is the time for which a poll waits for a replica before it asks
// the others, and for the others once enough have answered, so that a silent one
// does not delay commits.
const receiptGrace = 10 * time.Millisecond

// receipts is what is known about the replicas that have received the log of a
// primary. The acknowledgement of a commit does not tell which replica has it: it
// may be one that service discovery does not list yet, or one that drains. A
// change of primary needs the claim of neither.
type receipts struct {
	mu sync.Mutex
	// received is the end of the log that enough replicas have.
	received siskin.Position
	// wanted is the last position that a commit has waited for.
	wanted siskin.Position
	// behind is the position of the last acknowledged commit that the replicas
	// have not received in time, or zero.
	behind siskin.Position
	polled time.Time
	first  siskin.TargetID // replica to ask first: the one that answered last time
	done   chan struct{}   // closed at the end of the present poll; nil without one
}

// hasReceived reports whether enough replicas have a position. Logs of different
// terms may differ before it.
func (r *receipts) hasReceived(p siskin.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received.Term == p.Term && r.received.LSN >= p.LSN
}

// want makes the following polls look for a position.
func (r *receipts) want(p siskin.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Compare(r.wanted) > 0 {
		r.wanted = p
	}
}

// setBehind records a commit that the replicas have not received.
func (r *receipts) setBehind(p siskin.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Compare(r.behind) > 0 {
		r.behind = p
	}
}

// isBehind reports whether the replicas lack an acknowledged commit.
func (r *receipts) isBehind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.behind.IsZero()
}

// record stores the result of a poll. A commit of an earlier term is part of
// all logs or was rolled back.
func (r *receipts) record(received siskin.Position, first siskin.TargetID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received, r.polled = received, now
	if first != "" {
		r.first = first
	}
	if received.Compare(r.behind) >= 0 {
		r.behind = siskin.Position{}
	}
	close(r.done)
	r.done = nil
}

// listedReplicas returns the listed targets of a service but the primary.
func (h *Homes) listedReplicas(service siskin.ServiceName, l *pool) []siskin.TargetInfo {
	return slices.DeleteFunc(slices.Clone(h.cfg.LeaseConfig.Targets(service)), func(t siskin.TargetInfo) bool { return t.ID == l.target() })
}

// enoughStay reports whether commits can wait for replicas that do not drain.
func (h *Homes) enoughStay(service siskin.ServiceName, l *pool) bool {
	spec, ok := h.cfg.LeaseConfig.Service(service)
	return ok && len(slices.DeleteFunc(h.listedReplicas(service, l), isDraining)) >= lease.Quorum(spec.SyncReplicas)
}

func isDraining(t siskin.TargetInfo) bool { return t.Draining }

// replicasKeepUp reports whether a commit may be sent to a primary: the replicas
// have received the earlier ones.
func (h *Homes) replicasKeepUp(ctx context.Context, service siskin.ServiceName, l *pool) bool {
	r := &l.receipts
	if !r.isBehind() {
		return true
	}
	r.mu.Lock()
	recent := h.cfg.Clock.Since(r.polled) < receiptPollInterval
	r.mu.Unlock()
	if !recent {
		select {
		case <-h.pollReceipts(service, l):
		case <-ctx.Done():
			return false
		}
	}
	return !r.isBehind()
}

// awaitReceipt reports whether enough replicas receive a commit before the
// deadline.
func (h *Homes) awaitReceipt(service siskin.ServiceName, l *pool, p siskin.Position, asked, deadline time.Time) bool {
	begun := time.Now()
	l.receipts.want(p)
	for attempt := 0; !l.receipts.hasReceived(p); attempt++ {
		<-h.pollReceipts(service, l)
		switch left := time.Until(deadline); {
		case l.receipts.hasReceived(p):
		case left <= 0 || h.listState() == siskin.ListExpired:
			l.receipts.setBehind(p)
			return false
		case attempt == 0:
			// The poll may have begun before the commit.
		default:
			if time.Since(begun) > refuseWritesAfter {
				l.receipts.setBehind(p)
			}
			h.cfg.Clock.Sleep(min(receiptPollInterval, left))
		}
	}
	h.cover(service, l, asked)
	return true
}

// cover records that the staying replicas have every commit that a primary had
// acknowledged at a moment after asked.
func (h *Homes) cover(service siskin.ServiceName, l *pool, asked time.Time) {
	if covered := h.cfg.LeaseConfig.Covered; covered != nil && h.enoughStay(service, l) {
		covered(service, l.target(), asked)
	}
}

// CoverDepartures asks the replicas that stay whether they have all commits of
// a primary, and records the result.
func (h *Homes) CoverDepartures(ctx context.Context, service siskin.ServiceName, id siskin.TargetID) {
	asked := h.cfg.Clock.Now()
	if h.Ping(ctx, service, id) != nil {
		return
	}
	proof := h.cfg.Views.LatestProof(service)
	l, ok := h.pool(id)
	if !ok || proof.Target != id || proof.At.Before(asked) {
		return
	}
	if proof.Position.LSN > 0 {
		l.receipts.want(proof.Position)
		if <-h.pollReceipts(service, l); !l.receipts.hasReceived(proof.Position) {
			return
		}
	}
	h.cover(service, l, asked)
}

// pollReceipts asks the replicas for the ends of their logs. Concurrent callers
// share one poll. The channel is closed at its end.
func (h *Homes) pollReceipts(service siskin.ServiceName, l *pool) <-chan struct{} {
	r := &l.receipts
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done != nil {
		return r.done
	}
	done := make(chan struct{})
	r.done = done
	if !h.spawn(func() {
		received, first := h.askReceipts(service, l)
		r.record(received, first, h.cfg.Clock.Now())
	}) {
		r.done = nil
		close(done)
	}
	return done
}
