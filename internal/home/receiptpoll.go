package home

import (
	"context"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
)

// receiptAnswer is the state of one replica.
type receiptAnswer struct {
	id siskin.TargetID
	statusResult
}

// askReceipts returns the position up to which enough replicas of a primary have
// its log, or zero if too few answer, and the replica that answered first. It
// asks only as many as necessary while these have the position that commits wait
// for.
func (h *Homes) askReceipts(service siskin.ServiceName, l *pool) (received siskin.Position, first siskin.TargetID) {
	spec, ok := h.cfg.LeaseConfig.Service(service)
	if !ok {
		return siskin.Position{}, ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	result := lease.Receipts{Needed: lease.Quorum(spec.SyncReplicas)}
	replicas := h.countedReplicas(service, l, result.Needed)
	wanted := l.receipts.order(replicas)
	answers := make(chan receiptAnswer, len(replicas))
	asked := 0
	askUpTo := func(n int) {
		for ; asked < n; asked++ {
			t := replicas[asked]
			if !h.spawn(func() {
				a := receiptAnswer{id: t.ID}
				a.o, a.err = h.status(ctx, t.ID, replicaTimeout)
				answers <- a
			}) {
				answers <- receiptAnswer{t.ID, statusResult{err: errClosed}}
			}
		}
	}
	askUpTo(min(result.Needed, len(replicas)))
	grace := h.cfg.Clock.After(receiptGrace)
	for answered := 0; answered < len(replicas); {
		if answered == asked {
			askUpTo(len(replicas))
		}
		select {
		case a := <-answers:
			answered++
			if a.err != nil || a.o.Status.Primary {
				continue
			}
			if first == "" {
				first = a.id
			}
			if result.Add(a.o.Status.Received); result.Received().Compare(wanted) >= 0 {
				return result.Received(), first
			}
			if asked == len(replicas) && grace == nil && result.Len() >= result.Needed {
				grace = h.cfg.Clock.After(receiptGrace)
			}
		case <-grace:
			if grace = nil; asked == len(replicas) && result.Len() >= result.Needed {
				return result.Received(), first
			}
			askUpTo(len(replicas))
		}
	}
	return result.Received(), first
}

// errClosed is the error of a request that begins after Close.
var errClosed = siskin.NewError(siskin.Unavailable, "this VM has stopped")

// order puts the replica to ask first at the start of the list, and returns the
// position that commits wait for.
func (r *receipts) order(replicas []siskin.TargetInfo) (wanted siskin.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range replicas {
		if replicas[i].ID == r.first {
			replicas[0], replicas[i] = replicas[i], replicas[0]
		}
	}
	return r.wanted
}
