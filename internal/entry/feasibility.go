package entry

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

// refuseInfeasible refuses an operation that cannot succeed at the primary, and
// returns nil for one that can, or that is the trial due at the target.
func (o *operation) refuseInfeasible(id siskin.TargetID) *siskin.Answer {
	if !o.timed {
		return nil
	}
	v := o.assessTarget(id, true)
	if v == feasible {
		return nil
	}
	return o.refuseAtOnce(v, id)
}

func (o *operation) refuseAtOnce(v verdict, id siskin.TargetID) *siskin.Answer {
	o.reason = v.String()
	if o.timed {
		o.s.e.cfg.Metrics.countRefusedAtOnce(v)
	}
	return o.refuseNotRun(siskin.Busy, v.message(), o.returnAfter(v, id))
}

// assessTarget decides whether the operation can succeed at a target. If it
// cannot and a trial is due, the target is tried: in the background if its data
// centre is silent, since a request would wait for its timeout, and otherwise
// with the operation itself if it is to be sent there.
func (o *operation) assessTarget(id siskin.TargetID, sends bool) verdict {
	e := o.s.e
	t, ok := e.cfg.Roster.Target(id)
	if !ok {
		return feasible // the home decides
	}
	look := o.outlook(&t)
	v := look.assess()
	unknown := v == feasible && look.Silent && !look.Contact.known(look.Now)
	probes := (v == partitioned || unknown) && e.cfg.Probe != nil
	if v == feasible && !unknown || !probes && !sends || !e.reach.takeTrial(id, look.Now) {
		return v
	}
	if !probes {
		return feasible
	}
	e.done.Go(func() { e.probe(&t) })
	return v
}

// assessOnly assesses a target without a trial.
func (o *operation) assessOnly(id siskin.TargetID) verdict {
	t, ok := o.s.e.cfg.Roster.Target(id)
	if !ok {
		return feasible
	}
	look := o.outlook(&t)
	return look.assess()
}

func (o *operation) outlook(t *siskin.TargetInfo) outlook {
	e := o.s.e
	now, view := e.cfg.Clock.Now(), e.cfg.Views.Target(t.ID)
	fastest, _ := e.times.recent(t.ID, o.route.Name, now)
	return outlook{
		Now: now, Left: o.attemptTime(), Silent: e.silent(t.DataCentre), Contact: e.reach.contact(t.DataCentre),
		Failures: view.Failures, FailedAt: view.FailedAt, FirstAttempt: o.attempts == 0, Fastest: fastest,
	}
}

// unreachable returns the targets that a read does not use: those whose data
// centres cannot be reached, and those in silent ones that have not been tried
// lately, if there are others.
func (o *operation) unreachable() []siskin.TargetID {
	return o.unreachableBy(func(id siskin.TargetID) verdict { return o.assessTarget(id, false) })
}

// unreachableBy is unreachable with a given assessment of a target.
func (o *operation) unreachableBy(assess func(siskin.TargetID) verdict) []siskin.TargetID {
	if !o.timed {
		return nil
	}
	e := o.s.e
	var lost, untried []siskin.TargetID
	others := false
	for _, t := range e.cfg.Roster.Service(o.route.Service) {
		switch {
		case !e.silent(t.DataCentre):
			others = others || !t.Draining && !t.Evacuated
		case assess(t.ID) == partitioned:
			lost = append(lost, t.ID)
		default:
			if c := e.reach.contact(t.DataCentre); !c.known(e.cfg.Clock.Now()) {
				untried = append(untried, t.ID)
			}
		}
	}
	if others {
		return append(lost, untried...)
	}
	return lost
}

// silent reports whether another data centre has no live VM. Targets in it may
// still be reached.
func (e *Entry) silent(dc siskin.DataCentreID) bool {
	if e.cfg.Live == nil || dc == e.cfg.Self.DataCentre {
		return false
	}
	for _, vm := range e.cfg.Live() {
		if vm.DataCentre == dc {
			return false
		}
	}
	return true
}

// probeTimeout bounds one trial in the background. A target takes up to 30 ms
// to open a connection, and a home outside of its data centre a few more.
const probeTimeout = 150 * time.Millisecond

// probe tries a target of a data centre that could not be reached.
func (e *Entry) probe(t *siskin.TargetInfo) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := e.cfg.Probe(ctx, t.ID)
	// A target that refuses a connection has answered.
	answered := err == nil || siskin.KindOf(err) == siskin.Overloaded
	e.reach.record(t.DataCentre, answered, e.cfg.Clock.Now())
}
