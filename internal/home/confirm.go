package home

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
)

const (
	// renewTimeout bounds the questions to replicas for one renewal of a lease. A
	// question takes a round trip, and the opening of a connection.
	renewTimeout = 200 * time.Millisecond
	// askReplica bounds the question to one replica, so that a silent one leaves
	// time for the others.
	askReplica = 90 * time.Millisecond
	// askAgain is the time between two questions to replicas that accept no
	// connection at the moment.
	askAgain = 50 * time.Millisecond
	// entryDelay is the time from a new start of a target to a list without the entry
	// of its earlier run. A target writes its entry each 1.2 s, and one that is not
	// renewed runs out within 3 s.
	entryDelay = 4 * time.Second
)

// Leads holds what Homes needs to tell the only primary from a former one.
type Leads struct {
	Leases *lease.Leases
	// Fencing says that a target's own answer is a proof of lead, since a promotion
	// takes the lead from the former primary. Otherwise reads rest on leases, too.
	Fencing bool
	// Service looks a service up in the configuration in force.
	Service func(siskin.ServiceName) (siskin.ServiceSpec, bool)
	// Targets returns the targets of a service.
	Targets func(siskin.ServiceName) []siskin.TargetInfo
	// Group returns the number of targets of a service when none is missing.
	Group func(siskin.ServiceName) int
	// Listed returns since when service discovery lists the present run of a target,
	// and when its last list was asked for.
	Listed func(siskin.TargetID) (since, listed time.Time, ok bool)
	// Status asks a target for its state, through its home or directly.
	Status func(context.Context, siskin.TargetID) (Observed, error)
	Log    *log.Logger
}

// renewal is the renewal of a lease in progress, shared by all that wait for it.
type renewal struct {
	mu      sync.Mutex
	done    chan struct{} // closed at its end; nil when none is in progress
	asked   int           // replica that answered last, as an offset
	refused time.Time     // end of the last renewal that failed
	lost    bool          // the last renewal failed, and was logged
	claimed bool          // it found a replica claimed, or following another primary
}

// refusedFor is the time after a failed renewal in which requests are refused
// without another one, so that none waits in vain.
const refusedFor = 100 * time.Millisecond

// confirm returns a moment, after the call began, at which the target was the
// only one that could acknowledge commits. The caller still has to see a plain
// transaction begin there.
func (h *Homes) confirm(ctx context.Context, service siskin.ServiceName, l *lane) (at time.Time, ok bool) {
	if h.ownProof() {
		return h.cfg.Clock.Now(), true
	}
	return h.covered(ctx, service, l)
}

// ownProof reports whether the word of a target is a proof of its lead.
func (h *Homes) ownProof() bool { return h.cfg.Leads == nil || h.cfg.Leads.Fencing }

// covered returns a moment after the call began, and whether a lease of the target's
// lead covers it. It asks the replicas when none does, or when one ends soon.
func (h *Homes) covered(ctx context.Context, service siskin.ServiceName, l *lane) (at time.Time, ok bool) {
	at = h.cfg.Clock.Now()
	id := l.target()
	if age := h.cfg.Leads.Leases.Age(id, at); age < lease.Life {
		if age > lease.RenewAfter {
			h.renew(service, l, 0)
		}
		return at, true
	}
	if l.renewal.refusedSince(at.Add(-refusedFor)) {
		return at, false
	}
	select {
	case <-h.renew(service, l, 0):
	case <-ctx.Done():
	}
	at = h.cfg.Clock.Now()
	return at, h.cfg.Leads.Leases.Valid(id, at)
}

func (r *renewal) refusedSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refused.After(t)
}

// renew starts a renewal of a lease unless one is in progress, and returns a
// channel that is closed at its end. The target is known to have led the given term,
// or a later one.
func (h *Homes) renew(service siskin.ServiceName, l *lane, term siskin.Term) <-chan struct{} {
	r := &l.renewal
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done != nil {
		return r.done
	}
	done := make(chan struct{})
	r.done = done
	if !h.spawn(func() {
		err := h.askReplicas(service, l, term)
		r.mu.Lock()
		defer r.mu.Unlock()
		if err != nil {
			r.refused = h.cfg.Clock.Now()
		}
		r.claimed = siskin.KindOf(err) == siskin.Conflict
		if lost := err != nil; lost != r.lost {
			r.lost = lost
			h.cfg.Leads.Log.Info().Err(err).Str("Service", string(service)).Str("Target", string(l.target())).
				Bool("Confirmed", !lost).Msg("the replicas' confirmation of a lead changed")
		}
		r.done = nil
		close(done)
	}) {
		r.done = nil
		close(done)
	}
	return done
}

// askReplicas renews a lease with the answers of replicas. The error says why too
// few of them were found unclaimed.
func (h *Homes) askReplicas(service siskin.ServiceName, l *lane, term siskin.Term) error {
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
		case <-h.cfg.Clock.After(askAgain):
		}
	}
}

// askOnce asks the replicas once. The result again says that one of them accepts no
// connection at the moment and could confirm the lead.
func (h *Homes) askOnce(ctx context.Context, service siskin.ServiceName, l *lane, term siskin.Term) (again bool, err error) {
	leads, id := h.cfg.Leads, l.target()
	spec, ok := leads.Service(service)
	if !ok {
		return false, siskin.NewError(siskin.Unavailable, "service %s is not configured", service)
	}
	if term, err = h.pollTerm(ctx, service, id, term); err != nil {
		return siskin.KindOf(err) == siskin.Overloaded, err
	}
	replicas := slices.DeleteFunc(slices.Clone(leads.Targets(service)), func(t siskin.TargetInfo) bool { return t.ID == id })
	asked := h.cfg.Clock.Now()
	poll := lease.Poll{Term: term, Sync: spec.SyncReplicas, Replicas: len(replicas), Group: leads.Group(service)}
	var last error
	for _, part := range l.renewal.order(len(replicas), lease.Needed(spec.SyncReplicas)) {
		for n, a := range h.statuses(ctx, replicas, part) {
			s := &a.o.Status
			switch {
			case a.err != nil:
				again = again || siskin.KindOf(a.err) == siskin.Overloaded
				last = moreTelling(last, a.err)
				continue
			case s.Term > term:
				// This target leads again in a later term, or another one leads.
				if !leads.Fencing {
					if later, err := h.termOf(ctx, id); err != nil || later < s.Term {
						h.cfg.Views.Denied(service, id, asked)
						return false, siskin.NewError(siskin.Conflict, "replica %s follows term %d, target %s leads term %d", replicas[n].ID, s.Term, id, later)
					}
				}
				return h.askOnce(ctx, service, l, s.Term)
			}
			witness := leads.Leases.Witnesses(id, term, h.started(replicas[n].ID, a.o.Running), asked, lease.WitnessAfter)
			poll.Add(*s, witness)
			switch {
			case !lease.Unclaimed(*s, term):
				last = moreTelling(last, siskin.NewError(siskin.Conflict, "replica %s of term %d is claimed for term %d", replicas[n].ID, s.Term, s.HeldTerm))
			case witness:
				l.renewal.asked = n
			default:
				last = moreTelling(last, siskin.NewError(siskin.Unavailable, "replica %s may have started again and forgotten a claim", replicas[n].ID))
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
	if term = max(term, h.cfg.Leads.Leases.Term(id)); h.cfg.Leads.Fencing {
		return max(term, known), nil
	}
	var err error
	if term < max(known, 1) {
		if term, err = h.termOf(ctx, id); err != nil {
			return 0, err
		}
	}
	if term < known {
		// A replica that has started again may follow a former primary.
		return 0, siskin.NewError(siskin.Conflict, "target %s leads term %d, and another one has led term %d", id, term, known)
	}
	return term, nil
}

// order returns the replicas to ask, as offsets: first the one that confirmed the lead
// last, when one is enough, then all others at once.
func (r *renewal) order(replicas, needed int) [][]int {
	first := r.asked % max(replicas, 1)
	var others []int
	for n := range replicas {
		if n != first || needed > 1 {
			others = append(others, n)
		}
	}
	if replicas == 0 || needed > 1 {
		return [][]int{others}
	}
	return [][]int{{first}, others}
}

// observation is the answer of one replica.
type observation struct {
	o   Observed
	err error
}

// statuses asks some of the replicas at once, and returns the answers by offset.
func (h *Homes) statuses(ctx context.Context, replicas []siskin.TargetInfo, offsets []int) map[int]observation {
	list := make([]observation, len(offsets))
	var wg sync.WaitGroup
	for i, n := range offsets {
		wg.Go(func() { list[i].o, list[i].err = h.status(ctx, replicas[n].ID, askReplica) })
	}
	wg.Wait()
	answers := make(map[int]observation, len(offsets))
	for i, n := range offsets {
		answers[n] = list[i]
	}
	return answers
}

// moreTelling returns the error that says more of a lead: that a replica is claimed
// before all others.
func moreTelling(a, b error) error {
	if a != nil && siskin.KindOf(a) == siskin.Conflict {
		return a
	}
	return b
}

// knownTerm returns the newest term in which a target of a service is known to have
// led.
func (h *Homes) knownTerm(service siskin.ServiceName) siskin.Term {
	l := h.cfg.Views.Lead(service)
	return max(l.Term, l.Position.Term)
}

// started returns a moment from which on a target has run without a new start. Its
// connection shows this since it was opened. Lists show it from before on if the last
// one was asked for so late that it would tell of a start before the opening.
func (h *Homes) started(id siskin.TargetID, running time.Duration) time.Time {
	opened := h.cfg.Clock.Now().Add(-running)
	since, listed, ok := h.cfg.Leads.Listed(id)
	if ok && since.Before(opened) && listed.After(opened.Add(entryDelay)) {
		return since
	}
	return opened
}

// leadTerm returns the term that a target is known to lead where proofs need it,
// zero when it is not known.
func (h *Homes) leadTerm(id siskin.TargetID) siskin.Term {
	if h.ownProof() {
		return 0
	}
	return h.cfg.Leads.Leases.Term(id)
}

// termOf asks a primary for its term.
func (h *Homes) termOf(ctx context.Context, id siskin.TargetID) (siskin.Term, error) {
	o, err := h.status(ctx, id, askReplica)
	if err == nil && !o.Status.Primary {
		err = siskin.NewError(siskin.Conflict, "target %s is a replica", id)
	}
	return o.Status.Term, err
}

func (h *Homes) status(ctx context.Context, id siskin.TargetID, limit time.Duration) (Observed, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return h.cfg.Leads.Status(ctx, id)
}

// Claimed reports whether the last question to the replicas of a target found one
// that a change of primary has claimed.
func (h *Homes) Claimed(id siskin.TargetID) bool {
	l, ok := h.lanes.Get(id)
	if !ok {
		return false
	}
	l.renewal.mu.Lock()
	defer l.renewal.mu.Unlock()
	return l.renewal.claimed
}
