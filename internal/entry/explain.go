package entry

import (
	"fmt"
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/explain"
	"siskintray.example/siskin/internal/speed"
	"siskintray.example/siskin/internal/table"
	"siskintray.example/siskin/internal/views"
	"siskintray.example/siskin/pkg/config"
)

// Explain tells where a statement would go now. It sends nothing to a target and
// changes no state and no count.
func (e *Entry) Explain(q explain.Query) (*explain.Explanation, error) {
	snap := e.cfg.Table.Snapshot()
	route, customer, err := e.explainRoute(snap, q)
	if err != nil {
		return nil, err
	}
	now := e.cfg.Clock.Now()
	o := &operation{s: &Session{e: e}, route: route, customer: q.Customer, start: now, timed: snap.Prioritized}
	o.excluded = o.unreachableBy(o.assessOnly)
	x := &explain.Explanation{
		VM: e.cfg.Self.ID, Revision: snap.Version, Query: q, Service: route.Service, Route: string(route.Name), Class: route.Class,
		Timeout: config.Duration(route.Timeout), Objective: config.Duration(route.LatencyObjective), Rate: customer.Rate, Burst: customer.Burst,
	}
	proof := e.cfg.Views.LatestProof(route.Service)
	if !proof.At.IsZero() {
		x.ProofAge = config.Duration(now.Sub(proof.At))
	}
	c := o.selector()
	c.Explained, c.Running, c.Random = true, e.runningNow, func() float64 { return 1 }
	x.Primary = c.Primary
	kind := speed.ReadOf(route.Class)
	if q.Kind == explain.Write {
		kind = speed.Write
	}
	read := explainTargets(x, &c, kind)
	o.decide(x, q.Kind, read)
	return x, nil
}

// explainRoute returns the route and customer of a query.
func (e *Entry) explainRoute(snap *table.Snapshot, q explain.Query) (*siskin.RouteSpec, *siskin.CustomerSpec, error) {
	if snap.Version == 0 {
		return nil, nil, siskin.NewError(siskin.Unavailable, "this VM has just started and knows no routes yet").WithRemedy("retry, or ask another VM")
	}
	if !slices.Contains(explain.Kinds, q.Kind) {
		return nil, nil, siskin.NewError(siskin.BadInput, "unknown kind of statement %.64q", string(q.Kind)).WithRemedy("use read, write, transaction or readonly")
	}
	route, ok := snap.Route(q.Database)
	if !ok {
		return nil, nil, siskin.NewError(siskin.UnknownRoute, "no route has the database %.64q", q.Database).WithRemedy("check the name of the database")
	}
	if q.Customer == "" && route.AllowsAnonymous {
		return route, new(siskin.CustomerSpec), nil
	}
	customer, ok := snap.Customer(q.Customer)
	switch {
	case !ok:
		return nil, nil, siskin.NewError(siskin.BadInput, "unknown customer %.64q", string(q.Customer)).WithRemedy("check the name of the customer")
	case len(customer.Keys) == 0 && !route.AllowsAnonymous:
		return nil, nil, siskin.NewError(siskin.KeyRefused, "customer %s has no key, so that each of its statements is refused", q.Customer).WithRemedy("grant it a key")
	}
	return route, customer, nil
}

// decide fills in where the statement goes; read is the target chosen for reads.
func (o *operation) decide(x *explain.Explanation, k explain.Kind, read siskin.TargetID) {
	e := o.s.e
	if e.shutdown.Load() != nil {
		x.Reason = "this VM is stopping and refuses statements that cannot end in time; "
	}
	floor, valid := o.floor()
	switch {
	case k == explain.Write:
		o.decidePrimary(x, "only the primary runs writes")
	case o.route.Kind == siskin.PrimaryReads:
		o.decidePrimary(x, "the route reads at the primary")
	case k == explain.Transaction && e.writeHints.expectsWrite(o.route, o.start):
		o.decidePrimary(x, "transactions on the route are expected to write")
	case floor.IsZero():
		o.decidePrimary(x, "no position of the primary is known")
	case valid <= 0:
		o.decidePrimary(x, "the known position of the primary is too old for the route")
	case read == "":
		o.decidePrimary(x, "no target can be used for reads")
	default:
		x.Floor, x.FloorValid = fmt.Sprintf("term %d, position %s", floor.Term, floor.LSN), config.Duration(valid)
		x.Target = read
		x.Reason += "it has the least cost; reads differ by a random part, and a few try slow or failing targets"
	}
}

// decidePrimary sends the statement to the primary, or states why it would be
// refused.
func (o *operation) decidePrimary(x *explain.Explanation, why string) {
	v, name := o.s.e.cfg.Views, o.route.Service
	switch {
	case v.ChangeInProgress(name, o.start):
		x.Reason += why + "; refused as BUSY unless the change of primary in progress ends in time"
	case x.Primary == "":
		x.Reason += why + "; refused as BUSY, since no primary is known"
	case o.s.e.cfg.Roster.Leaving(x.Primary, o.start):
		x.Reason += why + "; refused as BUSY, since the primary is leaving"
	case !o.timed && o.unresponsive(x.Primary):
		x.Reason += why + "; refused as BUSY, since the primary did not answer a moment ago"
	case o.timed && o.assessOnly(x.Primary) != feasible:
		x.Reason += why + "; refused as BUSY but for a trial each " + trialInterval.String() + ": " + o.assessOnly(x.Primary).message()
	default:
		x.Target = x.Primary
		x.Reason += why
	}
}

// explainTargets fills in the targets and returns the one with the least cost.
func explainTargets(x *explain.Explanation, c *targetSelector, k speed.Kind) siskin.TargetID {
	var found candidates
	c.find(&found)
	best := siskin.TargetID("")
	if len(found.list) > 0 {
		found.compare(c.Now)
		best = found.list[found.cheapest()].id
	}
	for i := range c.Targets {
		t := &c.Targets[i]
		view := c.View(t.ID)
		one := explainTarget(t, &view, k, c.Now)
		one.Running = c.Running(t.ID)
		switch j := slices.IndexFunc(found.list, func(f candidate) bool { return f.index == i }); {
		case j >= 0:
			one.Factor, one.Cost, one.Notes = found.speeds[j].Factor, found.cost(j)-maxJitter, found.list[j].notes
		case t.Evacuated:
			one.Excluded = "evacuated"
		case t.Draining:
			one.Excluded = "draining"
		case slices.Contains(c.Excluded, t.ID):
			one.Excluded = "cannot be reached"
		}
		x.Targets = append(x.Targets, one)
	}
	return best
}

// explainTarget returns what is known about a target.
func explainTarget(t *siskin.TargetInfo, view *views.Target, k speed.Kind, now time.Time) explain.Target {
	figures := view.Speed.Times[k]
	one := explain.Target{
		ID: t.ID, DataCentre: t.DataCentre, Load: view.Load, Expected: config.Duration(figures.Expected()),
		Samples: speed.NewReport(figures, view.Speed.Limit, now).Samples, Limit: view.Speed.Limit, Distance: config.Duration(view.Speed.DistanceNow(now)),
	}
	if !view.LoadAt.IsZero() {
		one.LoadAge = config.Duration(now.Sub(view.LoadAt))
	}
	return one
}

// runningNow returns the number of statements of this VM in flight at a target.
func (e *Entry) runningNow(id siskin.TargetID) int {
	if n, ok := e.inFlight.Get(id); ok {
		return int(n.Load())
	}
	return 0
}
