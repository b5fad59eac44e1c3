package entry

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
)

// runAtReplica runs a read, or a read-only transaction, at any target that has
// reached the required position. Without a known position of the allowed age
// it runs at the primary.
func (o *operation) runAtReplica() *siskin.Answer {
	o.excluded = o.unreachable()
	for o.attempts < maxAttempts-1 && o.remaining() > minAttemptTime {
		floor, valid := o.floor()
		target := o.selectTarget()
		if valid <= 0 || target == "" {
			break
		}
		patience := max(o.remaining()/2, minAttemptTime)
		req := o.request(patience)
		req.Target, req.Proof, req.Floor, req.FloorTTL = target, home.FloorProof, floor, valid
		reply := o.run(req)
		if reply.Outcome == home.Answered {
			a := &reply.Answer
			if a.Code == siskin.Succeeded || o.s.tx != nil || !a.Code.HadNoEffect() && a.Code != siskin.Failed {
				return o.finishAttempt(&reply, true)
			}
			o.reason = a.Code.String()
			if a.Code == siskin.Lagging {
				break // only the primary is sure to have reached the position
			}
		} else {
			o.reason = reply.Cause.String()
			if reply.Cause == home.Refused {
				o.reason = reply.Answer.Code.String()
			}
		}
		o.excluded = append(o.excluded, target)
	}
	return o.runAtPrimary()
}

// floor returns the minimum position that a read must see, and how much longer
// that position meets the staleness bound of the route.
func (o *operation) floor() (siskin.Position, time.Duration) {
	lead := o.s.e.cfg.Views.LatestProof(o.route.Service)
	if lead.Position.IsZero() {
		return siskin.Position{}, 0
	}
	valid := o.route.MaxStaleness - floorMargin - o.s.e.cfg.Clock.Since(lead.At)
	floor := lead.Position
	if o.route.Kind == siskin.ReadYourWrites && o.s.floor.Compare(floor) > 0 {
		floor = o.s.floor
	}
	return floor, valid
}

// selectTarget returns the target for a read: the one with the least expected
// time to the answer.
func (o *operation) selectTarget() siskin.TargetID {
	e := o.s.e
	c := o.selector()
	c.Ranking, c.Running, c.Random = e.ranking(o.route), e.running, e.cfg.Random
	return c.best()
}

// selector returns the inputs for the choice that are known without a change of
// state.
func (o *operation) selector() targetSelector {
	e := o.s.e
	targets := e.cfg.Roster.Service(o.route.Service)
	snap := e.cfg.Table.Snapshot()
	spec, ok := snap.Service(o.route.Service)
	return targetSelector{
		Targets: targets, Primary: e.cfg.Views.Primary(o.route.Service, targets), Customer: o.customer, Class: o.route.Class,
		ConnectionsScarce: ok && spec.MaxConnections > 0 && len(snap.Customers) > spec.MaxConnections,
		LocalDataCentre:   e.cfg.Self.DataCentre, Excluded: o.excluded, Now: e.cfg.Clock.Now(), View: e.cfg.Views.Target,
	}
}
