package home

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
)

const (
	// renewTimeout limits the requests to replicas for one renewal of a lease.
	// A request takes one round trip, and possibly the opening of a connection.
	renewTimeout = 200 * time.Millisecond
	// replicaTimeout limits the request to one replica, so that an unresponsive
	// one leaves time for the others.
	replicaTimeout = 90 * time.Millisecond
	// replicaRetryInterval is the time between two requests to replicas that
	// accept no more connections.
	replicaRetryInterval = 50 * time.Millisecond
	// maxEntryLag is the maximum time from a restart of a target until service
	// discovery no longer lists its earlier run. A target writes its entry
	// every 1.2 s, and an entry that is not renewed expires within 3 s.
	maxEntryLag = 4 * time.Second
)

// askReplicas renews a lease with the answers of replicas. The error states why
// too few of them are known to be unclaimed.
func (h *Homes) askReplicas(service siskin.ServiceName, l *pool, term siskin.Term) error {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	for {
		again, err := h.askOnce(ctx, service, l, term)
		if !again {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-h.cfg.Clock.After(replicaRetryInterval):
		}
	}
}

// askOnce queries the replicas once. The result again reports that a replica
// which accepts no more connections at the moment could still confirm the
// primary.
func (h *Homes) askOnce(ctx context.Context, service siskin.ServiceName, l *pool, term siskin.Term) (again bool, err error) {
	leaseCfg, id := h.cfg.LeaseConfig, l.target()
	spec, ok := leaseCfg.Service(service)
	if !ok {
		return false, siskin.NewError(siskin.Unavailable, "service %s is not configured", service)
	}
	if h.listState() == siskin.ListExpired {
		return false, siskin.NewError(siskin.Unavailable, "the list of the targets of %s has expired", service)
	}
	if term, err = h.pollTerm(ctx, service, id, term); err != nil {
		return siskin.KindOf(err) == siskin.Overloaded, err
	}
	replicas := h.listedReplicas(service, l)
	asked := h.cfg.Clock.Now()
	// A change of primary needs no claim of a draining replica once the others
	// have its commits, so it confirms the primary only if there are no others.
	stay := h.enoughStay(service, l)
	current := h.listState() == siskin.ListCurrent
	poll := lease.Poll{Term: term, SyncReplicas: spec.SyncReplicas, Replicas: len(replicas), GroupSize: leaseCfg.GroupSize(service)}
	var last error
	for _, part := range l.renewal.order(len(replicas), lease.Quorum(spec.SyncReplicas)) {
		for n, a := range h.statuses(ctx, replicas, part) {
			s := &a.o.Status
			switch {
			case errors.Is(a.err, syscall.ECONNREFUSED):
				poll.AddDown()
				last = preferConflict(last, a.err)
				continue
			case a.err != nil:
				again = again || siskin.KindOf(a.err) == siskin.Overloaded
				last = preferConflict(last, a.err)
				continue
			case s.Term > term:
				// Either this target is the primary again in a later term, or
				// another target is.
				if !leaseCfg.Fencing {
					if later, err := h.askTerm(ctx, id); err != nil || later < s.Term {
						h.cfg.Views.RecordDenial(service, id, asked)
						return false, siskin.NewError(siskin.Conflict, "replica %s follows term %d, but target %s is primary in term %d", replicas[n].ID, s.Term, id, later)
					}
				}
				return h.askOnce(ctx, service, l, s.Term)
			}
			if replicas[n].Draining && stay {
				poll.AddDraining(*s)
				last = preferConflict(last, siskin.NewError(siskin.Unavailable, "replica %s drains", replicas[n].ID))
				continue
			}
			trusted := current && h.settled(replicas[n].ID) && leaseCfg.Leases.Trusted(id, term, h.runningSince(replicas[n].ID, a.o.ConnAge), asked, lease.MinTrustedUptime)
			poll.Add(*s, trusted)
			switch {
			case !lease.Unclaimed(*s, term):
				last = preferConflict(last, siskin.NewError(siskin.Conflict, "replica %s of term %d is claimed for term %d", replicas[n].ID, s.Term, s.PauseTerm))
			case trusted:
				l.renewal.lastConfirming = n
			default:
				last = preferConflict(last, siskin.NewError(siskin.Unavailable, "replica %s may have restarted and lost a claim", replicas[n].ID))
			}
		}
		if poll.Confirmed() {
			leaseCfg.Leases.Renew(id, term, asked)
			return false, nil
		}
	}
	kind := siskin.Unavailable
	if siskin.KindOf(last) == siskin.Conflict {
		kind = siskin.Conflict
	}
	return again, siskin.NewError(kind, "the %d replicas of %s did not confirm %s as primary in term %d", len(replicas), service, id, term).WithCause(last)
}

// pollTerm returns the term that the replicas must confirm, at least the given
// one. With fencing a lease is valid only for commits of exactly its term, so
// the newest known term is used without a request to the target: after all VMs
// have crashed, it may accept no more connections.
func (h *Homes) pollTerm(ctx context.Context, service siskin.ServiceName, id siskin.TargetID, term siskin.Term) (siskin.Term, error) {
	known := h.knownTerm(service)
	if term = max(term, h.cfg.LeaseConfig.Leases.Term(id)); h.cfg.LeaseConfig.Fencing {
		return max(term, known), nil
	}
	var err error
	if term < max(known, 1) {
		if term, err = h.askTerm(ctx, id); err != nil {
			return 0, err
		}
	}
	if term < known {
		// Restarted replicas may follow a former primary and would confirm it.
		return 0, siskin.NewError(siskin.Conflict, "target %s is primary in term %d, but another one was primary in term %d", id, term, known)
	}
	return term, nil
}

// statuses queries the replicas at the given offsets in parallel, and returns
// the answers by offset.
func (h *Homes) statuses(ctx context.Context, replicas []siskin.TargetInfo, offsets []int) map[int]statusResult {
	list := make([]statusResult, len(offsets))
	var wg sync.WaitGroup
	for i, n := range offsets {
		wg.Go(func() { list[i].o, list[i].err = h.status(ctx, replicas[n].ID, replicaTimeout) })
	}
	wg.Wait()
	answers := make(map[int]statusResult, len(offsets))
	for i, n := range offsets {
		answers[n] = list[i]
	}
	return answers
}

// preferConflict returns the more informative of two errors: a claimed replica,
// which is an error of kind Conflict, or else the later one.
func preferConflict(a, b error) error {
	if a != nil && siskin.KindOf(a) == siskin.Conflict {
		return a
	}
	return b
}

// knownTerm returns the newest term in which a target of a service is known to
// have been the primary.
func (h *Homes) knownTerm(service siskin.ServiceName) siskin.Term {
	l := h.cfg.Views.LatestProof(service)
	return max(l.Term, l.Position.Term)
}

// runningSince returns a time since which a target has run without a restart.
// An open connection proves this from its opening on. Service discovery proves
// it for longer if its latest list was requested so late that it would include
// any restart before the opening.
func (h *Homes) runningSince(id siskin.TargetID, connAge time.Duration) time.Time {
	opened := h.cfg.Clock.Now().Add(-connAge)
	since, listed, ok := h.cfg.LeaseConfig.Listed(id)
	if ok && since.Before(opened) && listed.After(opened.Add(maxEntryLag)) {
		return since
	}
	return opened
}
