package home

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
)

const (
	// renewTimeout bounds the questions to replicas for one renewal of a lease. A
	// question takes a round trip, and the opening of a connection.
	renewTimeout = 200 * time.Millisecond
	// replicaTimeout bounds the question to one replica, so that a silent one leaves
	// time for the others.
	replicaTimeout = 90 * time.Millisecond
	// replicaRetryInterval is the time between two questions to replicas that accept no
	// connection at the moment.
	replicaRetryInterval = 50 * time.Millisecond
	// maxEntryLag is the time from a new start of a target to a list without the entry
	// of its earlier run. A target writes its entry each 1.2 s, and one that is not
	// renewed runs out within 3 s.
	maxEntryLag = 4 * time.Second
)

// askReplicas renews a lease with the answers of replicas. The error says why too
// few of them were found unclaimed.
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

// askOnce asks the replicas once. The result again says that one of them accepts no
// connection at the moment and could confirm the lead.
func (h *Homes) askOnce(ctx context.Context, service siskin.ServiceName, l *pool, term siskin.Term) (again bool, err error) {
	leads, id := h.cfg.LeaseConfig, l.target()
	spec, ok := leads.Service(service)
	if !ok {
		return false, siskin.NewError(siskin.Unavailable, "service %s is not configured", service)
	}
	if term, err = h.pollTerm(ctx, service, id, term); err != nil {
		return siskin.KindOf(err) == siskin.Overloaded, err
	}
	replicas := slices.DeleteFunc(slices.Clone(leads.Targets(service)), func(t siskin.TargetInfo) bool { return t.ID == id })
	asked := h.cfg.Clock.Now()
	poll := lease.Poll{Term: term, SyncReplicas: spec.SyncReplicas, Replicas: len(replicas), GroupSize: leads.GroupSize(service)}
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
				// This target leads again in a later term, or another one leads.
				if !leads.Fencing {
					if later, err := h.askTerm(ctx, id); err != nil || later < s.Term {
						h.cfg.Views.RecordDenial(service, id, asked)
						return false, siskin.NewError(siskin.Conflict, "replica %s follows term %d, target %s leads term %d", replicas[n].ID, s.Term, id, later)
					}
				}
				return h.askOnce(ctx, service, l, s.Term)
			}
			witness := leads.Leases.Trusted(id, term, h.runningSince(replicas[n].ID, a.o.ConnAge), asked, lease.MinTrustedUptime)
			poll.Add(*s, witness)
			switch {
			case !lease.Unclaimed(*s, term):
				last = preferConflict(last, siskin.NewError(siskin.Conflict, "replica %s of term %d is claimed for term %d", replicas[n].ID, s.Term, s.PauseTerm))
			case witness:
				l.renewal.asked = n
			default:
				last = preferConflict(last, siskin.NewError(siskin.Unavailable, "replica %s may have started again and forgotten a claim", replicas[n].ID))
			}
		}
		if poll.Confirmed() {
			leads.Leases.Renew(id, term, asked)
			return false, nil
		}
	}
	kind := siskin.Unavailable
	if siskin.KindOf(last) == siskin.Conflict {
		kind = siskin.Conflict
	}
	return again, siskin.NewError(kind, "the %d replicas of %s do not confirm the lead of %s in term %d", len(replicas), service, id, term).WithCause(last)
}

// pollTerm returns the term for which replicas are asked, at least the given one. With
// fencing a lease counts for commits of its very term only, so it may be the newest one
// known: after a loss of all VMs the target may have no connection left to ask it on.
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
		// A replica that has started again may follow a former primary.
		return 0, siskin.NewError(siskin.Conflict, "target %s leads term %d, and another one has led term %d", id, term, known)
	}
	return term, nil
}

// statuses asks some of the replicas at once, and returns the answers by offset.
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

// preferConflict returns the error that says more of a lead: that a replica is claimed
// before all others.
func preferConflict(a, b error) error {
	if a != nil && siskin.KindOf(a) == siskin.Conflict {
		return a
	}
	return b
}

// knownTerm returns the newest term in which a target of a service is known to have
// led.
func (h *Homes) knownTerm(service siskin.ServiceName) siskin.Term {
	l := h.cfg.Views.LatestProof(service)
	return max(l.Term, l.Position.Term)
}

// runningSince returns a moment from which on a target has run without a new start. Its
// connection shows this since it was opened. Lists show it from before on if the last
// one was asked for so late that it would tell of a start before the opening.
func (h *Homes) runningSince(id siskin.TargetID, connAge time.Duration) time.Time {
	opened := h.cfg.Clock.Now().Add(-connAge)
	since, listed, ok := h.cfg.LeaseConfig.Listed(id)
	if ok && since.Before(opened) && listed.After(opened.Add(maxEntryLag)) {
		return since
	}
	return opened
}
