package home

import (
	"context"
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
)

// Leads holds what Homes needs where a target's own answer is no proof of lead,
// since the platform leaves former primaries leading.
type Leads struct {
	Leases *lease.Leases
	// Service looks a service up in the configuration in force.
	Service func(siskin.ServiceName) (siskin.ServiceSpec, bool)
	// Targets returns the targets of a service.
	Targets func(siskin.ServiceName) []siskin.TargetInfo
	// Status asks a target for its state, directly or through its home.
	Status func(context.Context, siskin.TargetID) (siskin.ControlStatus, error)
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
	at = h.cfg.Clock.Now()
	if h.cfg.Leads == nil {
		return at, true
	}
	id := l.target()
	if age := h.cfg.Leads.Leases.Age(id, at); age < lease.Life {
		if age > lease.RenewAfter {
			h.renew(service, l)
		}
		return at, true
	}
	if l.renewal.refusedSince(at.Add(-refusedFor)) {
		return at, false
	}
	select {
	case <-h.renew(service, l):
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
// channel that is closed at its end.
func (h *Homes) renew(service siskin.ServiceName, l *lane) <-chan struct{} {
	r := &l.renewal
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done != nil {
		return r.done
	}
	done := make(chan struct{})
	r.done = done
	if !h.spawn(func() {
		err := h.askReplicas(service, l)
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
func (h *Homes) askReplicas(service siskin.ServiceName, l *lane) error {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	leads, id := h.cfg.Leads, l.target()
	spec, ok := leads.Service(service)
	if !ok {
		return siskin.NewError(siskin.Unavailable, "service %s is not configured", service)
	}
	term := leads.Leases.Term(id)
	if term == 0 {
		var err error
		if term, err = h.termOf(ctx, id); err != nil {
			return err
		}
	}
	var replicas []siskin.TargetInfo
	for _, t := range leads.Targets(service) {
		if t.ID != id {
			replicas = append(replicas, t)
		}
	}
	asked := h.cfg.Clock.Now()
	unclaimed := 0
	var last error
	for i := range replicas {
		n := (l.renewal.asked + i) % len(replicas)
		s, err := h.status(ctx, replicas[n].ID, askReplica)
		if err != nil {
			if siskin.KindOf(last) != siskin.Conflict {
				last = err
			}
			continue
		}
		if s.Term > term {
			// Another target leads, or this one leads again in a later term.
			if term, err = h.termOf(ctx, id); err != nil || term < s.Term {
				h.cfg.Views.Denied(service, id, asked)
				return siskin.NewError(siskin.Conflict, "replica %s follows term %d, target %s leads term %d", replicas[n].ID, s.Term, id, term)
			}
		}
		if !lease.Unclaimed(s, term) {
			last = siskin.NewError(siskin.Conflict, "replica %s of term %d is claimed for term %d", replicas[n].ID, s.Term, s.HeldTerm)
			continue
		}
		l.renewal.asked = n
		if unclaimed++; unclaimed == lease.Needed(spec.SyncReplicas) {
			leads.Leases.Renew(id, term, asked)
			return nil
		}
	}
	kind := siskin.Unavailable
	if siskin.KindOf(last) == siskin.Conflict {
		kind = siskin.Conflict
	}
	return siskin.NewError(kind, "%d of %d replicas of %s confirm the lead of %s", unclaimed, len(replicas), service, id).WithCause(last)
}

// leadTerm returns the term that a target is known to lead, zero when it is not.
func (h *Homes) leadTerm(id siskin.TargetID) siskin.Term {
	if h.cfg.Leads == nil {
		return 0
	}
	return h.cfg.Leads.Leases.Term(id)
}

// termOf asks a primary for its term.
func (h *Homes) termOf(ctx context.Context, id siskin.TargetID) (siskin.Term, error) {
	s, err := h.status(ctx, id, askReplica)
	if err == nil && !s.Primary {
		err = siskin.NewError(siskin.Conflict, "target %s is a replica", id)
	}
	return s.Term, err
}

func (h *Homes) status(ctx context.Context, id siskin.TargetID, limit time.Duration) (siskin.ControlStatus, error) {
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

// acknowledged takes over a commit that a target acknowledged, and reports
// whether it proves the lead: replicas that had to receive it first did so after
// asked, so they were unclaimed then.
func (h *Homes) acknowledged(service siskin.ServiceName, id siskin.TargetID, p siskin.Position, asked time.Time) bool {
	leads := h.cfg.Leads
	if leads == nil {
		return true
	}
	spec, ok := leads.Service(service)
	if !ok || !lease.ByCommit(spec.SyncReplicas) || p.IsZero() {
		return false
	}
	leads.Leases.Renew(id, p.Term, asked)
	return true
}
