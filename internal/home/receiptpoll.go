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

// receiptPoll asks the replicas of a primary for the ends of their logs.
type receiptPoll struct {
	h        *Homes
	replicas []siskin.TargetInfo // in the order in which they are asked
	// settled are the replicas that every VM counts as part of the group.
	settled map[siskin.TargetID]bool
	// stay is set if enough replicas do not drain.
	stay    bool
	result  lease.Receipts
	answers chan receiptAnswer
	asked   int
}

// receiptAnswer is the state of one replica.
type receiptAnswer struct {
	target siskin.TargetInfo
	statusResult
}

// askReceipts returns the position up to which enough replicas of a primary have
// its log, or zero if too few answer, and the replica that answered first.
func (h *Homes) askReceipts(service siskin.ServiceName, l *pool) (received siskin.Position, first siskin.TargetID) {
	spec, ok := h.cfg.LeaseConfig.Service(service)
	state := h.listState()
	if !ok || state == siskin.ListExpired {
		return siskin.Position{}, ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	p := h.newReceiptPoll(service, l, state, lease.Quorum(spec.SyncReplicas))
	first = p.run(ctx, l.receipts.order(p.replicas, p.settled))
	if h.listState() > state {
		return siskin.Position{}, first // the replicas counted may have been too few
	}
	return p.result.Received(), first
}

func (h *Homes) newReceiptPoll(service siskin.ServiceName, l *pool, state siskin.ListState, needed int) *receiptPoll {
	p := &receiptPoll{h: h, replicas: h.listedReplicas(service, l), stay: h.enoughStay(service, l), settled: make(map[siskin.TargetID]bool)}
	p.answers = make(chan receiptAnswer, len(p.replicas))
	p.result = lease.Receipts{Needed: needed, Replicas: len(p.replicas)}
	if state == siskin.ListOutdated {
		p.result.Replicas = max(p.result.Replicas, h.cfg.LeaseConfig.GroupSize(service)-1)
	}
	for _, t := range p.replicas {
		// Without enough others no departure is covered, so that a change counts
		// the draining replicas as well.
		p.settled[t.ID] = state == siskin.ListCurrent && h.settled(t.ID) && !(t.Draining && p.stay)
	}
	return p
}

// run asks as many replicas as are necessary while these have the wanted
// position, and all of them otherwise. It returns the first one that answers.
func (p *receiptPoll) run(ctx context.Context, wanted siskin.Position) (first siskin.TargetID) {
	all := len(p.replicas)
	if n := p.result.Needed; n < all && p.settled[p.replicas[n-1].ID] {
		p.askUpTo(ctx, n)
	} else {
		p.askUpTo(ctx, all)
	}
	grace := p.h.cfg.Clock.After(receiptGrace)
	for answered := 0; answered < all; {
		if answered == p.asked {
			p.askUpTo(ctx, all)
		}
		select {
		case a := <-p.answers:
			answered++
			if p.add(&a) && first == "" {
				first = a.target.ID
			}
			if p.result.Received().Compare(wanted) >= 0 {
				return first
			}
			if grace == nil && p.result.Enough() {
				grace = p.h.cfg.Clock.After(receiptGrace)
			}
		case <-grace:
			if p.asked == all && p.result.Enough() {
				return first
			}
			p.askUpTo(ctx, all)
			grace = nil
		}
	}
	return first
}

// askUpTo asks the first n replicas that have not been asked.
func (p *receiptPoll) askUpTo(ctx context.Context, n int) {
	for ; p.asked < n; p.asked++ {
		a := receiptAnswer{target: p.replicas[p.asked]}
		if !p.h.spawn(func() {
			a.o, a.err = p.h.status(ctx, a.target.ID, replicaTimeout)
			p.answers <- a
		}) {
			a.err = errClosed
			p.answers <- a
		}
	}
}

// add counts the answer of a replica, and reports whether it is a replica.
func (p *receiptPoll) add(a *receiptAnswer) bool {
	if a.target.Draining && p.stay && errors.Is(a.err, syscall.ECONNREFUSED) {
		p.result.Replicas-- // it has left, and no promotion of it finds its log
	}
	if a.err != nil || a.o.Status.Primary {
		return false
	}
	p.result.Add(a.o.Status.Received, p.settled[a.target.ID])
	return true
}

// errClosed is the error of a request that begins after Close.
var errClosed = siskin.NewError(siskin.Unavailable, "this VM has stopped")

// order puts the settled replicas at the start of the list, with the one to ask
// first, and the draining ones at its end. It returns the position that commits
// wait for.
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
