package home

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"syscall"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
)

// receiptAnswer is the state of one replica.
type receiptAnswer struct {
	id       siskin.TargetID
	draining bool
	statusResult
}

// askReceipts returns the position up to which enough replicas of a primary have
// its log, or zero if too few answer, and the replica that answered first. It
// asks only as many as necessary while these have the position that commits wait
// for.
func (h *Homes) askReceipts(service siskin.ServiceName, l *pool) (received siskin.Position, first siskin.TargetID) {
	spec, ok := h.cfg.LeaseConfig.Service(service)
	state := h.listState()
	if !ok || state == siskin.ListExpired {
		return siskin.Position{}, ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	replicas, stay := h.listedReplicas(service, l), h.enoughStay(service, l)
	result := lease.Receipts{Needed: lease.Quorum(spec.SyncReplicas), Replicas: len(replicas)}
	if state == siskin.ListOutdated {
		result.Replicas = max(result.Replicas, h.cfg.LeaseConfig.GroupSize(service)-1)
	}
	answers := make(chan receiptAnswer, len(replicas))
	asked := 0
	askUpTo := func(n int) {
		for ; asked < n; asked++ {
			t := replicas[asked]
			if !h.spawn(func() {
				a := receiptAnswer{id: t.ID, draining: t.Draining}
				a.o, a.err = h.status(ctx, t.ID, replicaTimeout)
				answers <- a
			}) {
				answers <- receiptAnswer{id: t.ID, statusResult: statusResult{err: errClosed}}
			}
		}
	}
	settled := make(map[siskin.TargetID]bool)
	for _, t := range replicas {
		// Without enough others no departure is covered, so that a change counts
		// the draining replicas as well.
		settled[t.ID] = state == siskin.ListCurrent && h.settled(t.ID) && !(t.Draining && stay)
	}
	wanted := l.receipts.order(replicas, settled)
	initial := len(replicas)
	if n := result.Needed; n < len(replicas) && settled[replicas[n-1].ID] {
		initial = n
	}
	askUpTo(initial)
	grace := h.cfg.Clock.After(receiptGrace)
	for answered := 0; answered < len(replicas); {
		if answered == asked {
			askUpTo(len(replicas))
		}
		select {
		case a := <-answers:
			answered++
			if a.draining && stay && errors.Is(a.err, syscall.ECONNREFUSED) {
				result.Replicas-- // it has left, and no promotion of it finds its log
			}
			if a.err != nil || a.o.Status.Primary {
				continue
			}
			if first == "" {
				first = a.id
			}
			if result.Add(a.o.Status.Received, settled[a.id]); result.Received().Compare(wanted) >= 0 {
				return result.Received(), first
			}
			if asked == len(replicas) && grace == nil && result.Enough() {
				grace = h.cfg.Clock.After(receiptGrace)
			}
		case <-grace:
			if grace = nil; asked == len(replicas) && result.Enough() {
				return result.Received(), first
			}
			askUpTo(len(replicas))
		}
	}
	return result.Received(), first
}

// errClosed is the error of a request that begins after Close.
var errClosed = siskin.NewError(siskin.Unavailable, "this VM has stopped")

// order puts the settled replicas at the start of the list, with the one to ask
// first, and the draining ones at its end. It returns the position that commits wait for.
func (r *receipts) order(replicas []siskin.TargetInfo, settled map[siskin.TargetID]bool) (wanted siskin.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rank := func(t siskin.TargetInfo) int {
		switch {
		case t.Draining && !settled[t.ID]:
			return 3
		case !settled[t.ID]:
			return 2
		case t.ID != r.first:
			return 1
		default:
			return 0
		}
	}
	slices.SortStableFunc(replicas, func(a, b siskin.TargetInfo) int { return cmp.Compare(rank(a), rank(b)) })
	return r.wanted
}

// listState says how far the list of targets can be relied on.
func (h *Homes) listState() siskin.ListState {
	if h.cfg.LeaseConfig.ListState == nil {
		return siskin.ListCurrent
	}
	return h.cfg.LeaseConfig.ListState()
}

// settled reports whether every VM that may order a change of primary knows a
// target.
func (h *Homes) settled(id siskin.TargetID) bool {
	return h.cfg.LeaseConfig.Settled == nil || h.cfg.LeaseConfig.Settled(id)
}
