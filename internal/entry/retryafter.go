package entry

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/views"
)

// returnAfter returns the time after which a request that was refused at once
// returns, or zero to state none.
func (o *operation) returnAfter(v verdict, id siskin.TargetID) time.Duration {
	e := o.s.e
	now := e.cfg.Clock.Now()
	switch v {
	case partitioned:
		t, _ := e.cfg.Roster.Target(id)
		lostFor := now.Sub(e.reach.contact(t.DataCentre).failingSince)
		return o.book(max(views.ExpectedRest(lostFor, 0), trialInterval), id)
	case tooSlow:
		return o.book(trialInterval, id)
	}
	return o.returnToPrimary()
}

// returnToPrimary returns the time after which the operation returns for lack
// of a primary that answers, or zero to state none.
func (o *operation) returnToPrimary() time.Duration {
	if !o.timed {
		return noPrimaryRetryAfter
	}
	e := o.s.e
	return o.book(e.cfg.Views.ExpectedChange(o.route.Service, e.cfg.Clock.Now()), o.target)
}

// returnToQueue returns the time after which the operation returns for lack of
// capacity, or zero to state none.
func (o *operation) returnToQueue(reply *home.Reply) time.Duration {
	stated := reply.RetryAfter
	switch {
	case !o.timed:
		return max(stated, minOverloadRetryAfter)
	case stated == 0 && reply.Cause != home.Overload:
		return o.book(minOverloadRetryAfter, o.target)
	case stated > o.budget():
		return 0 // the answer would be of no use then
	}
	return stated // the queue of the home has spread it
}

// book assigns a return time to the operation at a service that is expected to
// serve requests again after ready.
func (o *operation) book(ready time.Duration, id siskin.TargetID) time.Duration {
	e := o.s.e
	now := e.cfg.Clock.Now()
	if id == "" {
		id = e.cfg.Views.LatestProof(o.route.Service).Target
	}
	_, mean := e.times.recent(id, o.route.Name, now)
	t, _ := e.cfg.Roster.Target(id)
	after := e.returns.book(now, returning{
		Service: o.route.Service, Class: o.route.Class, Ready: ready, Interval: startInterval(mean, t.Slots, e.liveVMs()), Limit: o.budget(),
	})
	e.cfg.Metrics.recordReturn(after)
	return after
}

func (e *Entry) liveVMs() int {
	if e.cfg.Live == nil {
		return 1
	}
	return len(e.cfg.Live())
}

// recordReply records the time at the target, and whether a home outside of
// the target's data centre reached it.
func (o *operation) recordReply(id siskin.TargetID) {
	e, r := o.s.e, &o.reply
	now := e.cfg.Clock.Now()
	if r.Outcome == home.Answered && r.Ran > 0 {
		e.times.record(id, o.route.Name, r.Ran, now)
	}
	t, ok := e.cfg.Roster.Target(id)
	if !ok || t.DataCentre == e.cfg.Self.DataCentre || !e.outside(r.Home, t.DataCentre) {
		return
	}
	if answered, known := reached(r); known {
		e.reach.record(t.DataCentre, answered, now)
	}
}

// reached reports whether the reply of a home shows that the target can be
// reached from there. known is false if it shows neither.
func reached(r *home.Reply) (answered, known bool) {
	switch {
	case r.Outcome == home.Answered, r.Cause == home.Refused:
		return true, true
	case r.Cause == home.Unreachable, r.Cause == home.Silent:
		return false, true
	}
	return false, false
}

// outside reports whether a live VM is in another data centre than the given
// one.
func (e *Entry) outside(id siskin.VMID, dc siskin.DataCentreID) bool {
	if e.cfg.Live == nil {
		return false
	}
	for _, vm := range e.cfg.Live() {
		if vm.ID == id {
			return vm.DataCentre != dc
		}
	}
	return false
}
