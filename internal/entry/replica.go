package entry

import (
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
)

// atReplica runs a read, or a read-only transaction, at any target that has the
// data. When no floor of the allowed age is known the primary runs it.
func (o *operation) atReplica() *siskin.Answer {
	for o.attempts < maxAttempts-1 && o.remaining() > minAttempt {
		floor, valid := o.floor()
		target := o.pick(floor)
		if valid <= 0 || target == "" {
			break
		}
		patience := max(o.remaining()/2, minAttempt)
		req := o.request(patience)
		req.Target, req.Proof, req.Floor, req.FloorFor = target, home.FloorProof, floor, valid
		reply := o.run(req)
		if reply.Outcome == home.Answered {
			a := &reply.Answer
			if a.Code == siskin.Succeeded || o.s.tx != nil || !a.Code.NothingKept() && a.Code != siskin.Failed {
				return o.opened(&reply)
			}
			o.reason = a.Code.String()
			if a.Code == siskin.Lagging {
				break // only the primary has the position for certain
			}
		} else {
			o.reason = reply.Cause.String()
			if reply.Cause == home.Refused {
				o.reason = reply.Answer.Code.String()
			}
		}
		o.excluded = append(o.excluded, target)
	}
	return o.atPrimary()
}

// floor returns the position that a read must see, and how much longer it is
// young enough.
func (o *operation) floor() (siskin.Position, time.Duration) {
	lead := o.s.e.cfg.Views.Lead(o.route.Service)
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

const (
	// primaryBias is the number of statements by which the primary counts as
	// more loaded than it is, since it alone can run writes.
	primaryBias = 1.0
	// remoteBias is the same for targets in other data centres, whose answers
	// cross a priced link.
	remoteBias = 0.4
	// behindBias is the same for a replica whose last known position lacks the
	// floor.
	behindBias = 3.0
	// warmingBias is the same for a target that has just started.
	warmingBias = 1.0
	// avoidFailed is the time after a failure in which a target is used only
	// when there is no other.
	avoidFailed = time.Second
)

// pick returns the target for a read, the least loaded one as far as known.
func (o *operation) pick(floor siskin.Position) siskin.TargetID {
	e := o.s.e
	targets := e.cfg.Roster.Service(o.route.Service)
	primary := e.cfg.Views.Primary(o.route.Service, targets)
	now := e.cfg.Clock.Now()
	var best siskin.TargetID
	var least float64
	for i := range targets {
		t := &targets[i]
		if t.Draining || slices.Contains(o.excluded, t.ID) {
			continue
		}
		seen := e.cfg.Views.Target(t.ID)
		cost := float64(e.running(t.ID)+seen.Waiting) / float64(t.Slots)
		if t.ID == primary {
			cost += primaryBias
		} else if !seen.At.IsZero() && seen.Position.Compare(floor) < 0 {
			cost += behindBias
		}
		if t.DataCentre != e.cfg.Self.DataCentre {
			cost += remoteBias
		}
		if t.Warming > 0 {
			cost += warmingBias
		}
		if seen.Failures > 0 && now.Sub(seen.FailedAt) < avoidFailed {
			cost += 100
		}
		if best == "" || cost < least {
			best, least = t.ID, cost
		}
	}
	return best
}
