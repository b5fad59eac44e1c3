package sysd

import (
	"errors"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/platform"
)

// maxCustomerLines limits the log lines about customers for one change of the
// configuration, since each VM of the fleet writes them.
const maxCustomerLines = 20

// apply applies an encoded configuration if it is newer than the current one.
func (n *node) apply(encoded []byte, source string) {
	d, err := platform.DecodeDeployment(encoded)
	if err != nil {
		n.log.Error().Err(err).Str("Source", source).Msg("refused a configuration that cannot be decoded")
		return
	}
	addColdRates(d, n.cfg.Operator.ColdExcess, n.cfg.Operator.ColdSlack)
	earlier := n.table.Snapshot()
	before := earlier.Version
	if n.table.Apply(d, encoded) {
		n.log.Info().Uint64("Before", uint64(before)).Uint64("Revision", uint64(d.Version)).Str("Source", source).
			Int("Routes", len(d.Routes)).Int("Customers", len(d.Customers)).Int("LeftOut", len(d.LeftOut)).Msg("configuration in force")
		if len(d.LeftOut) > 0 {
			n.log.Error().Err(errors.Join(d.LeftOut...)).Uint64("Revision", uint64(d.Version)).Msg("parts of the configuration cannot be used")
		}
		if before == 0 {
			return // all customers are new; their limits are in the configuration
		}
		lines := 0
		for i := range d.Customers {
			c := &d.Customers[i]
			if old, ok := earlier.Customer(c.ID); ok && old.Rate == c.Rate && old.Burst == c.Burst && len(old.Keys) == len(c.Keys) {
				continue
			}
			if lines++; lines > maxCustomerLines {
				break
			}
			n.log.Info().Str("Customer", string(c.ID)).Int("Keys", len(c.Keys)).Float64("Rate", float64(c.Rate)).
				Float64("Burst", float64(c.Burst)).Msg("customer in force")
		}
	}
}

// maintainInterval is the longest time between two rounds of maintain.
const maintainInterval = 500 * time.Millisecond

// maintain updates the homes after changes of the fleet, service discovery or
// the configuration, and at least every maintainInterval.
func (n *node) maintain() {
	known := make(map[siskin.TargetID]siskin.TargetInfo)
	changes := newHomeChanges(n.stats.Scope())
	for !n.isStopping() {
		members, targets, deployment := n.crew.Changed(), n.roster.Changed(), n.table.Changed()
		n.homes.Update()
		n.connectHomeTargets()
		n.checkIsolation()
		select {
		case <-members:
		case <-targets:
			known = n.handleTargetChanges(known)
		case <-deployment:
		case <-n.clock.After(maintainInterval):
		}
		n.updateGauges()
		n.reportOverload(changes)
	}
}

// connectHomeTargets keeps a connection open to each target that this VM is
// the home of.
func (n *node) connectHomeTargets() {
	targets, _, _ := n.roster.Listed()
	for _, t := range targets {
		if n.path.IsHome(t) {
			n.homes.EnsureControlConn(t.ID)
		}
	}
}

// handleTargetChanges logs what changed in service discovery. A target that
// newly reports itself as primary is passed on as a hint.
func (n *node) handleTargetChanges(known map[siskin.TargetID]siskin.TargetInfo) map[siskin.TargetID]siskin.TargetInfo {
	next := make(map[siskin.TargetID]siskin.TargetInfo, len(known))
	for _, s := range n.table.Snapshot().Services {
		for _, t := range n.roster.Service(s.Name) {
			next[t.ID] = t
			old, ok := known[t.ID]
			if ok && old == t {
				continue
			}
			if len(known) == 0 {
				n.log.Debug().Str("Target", string(t.ID)).Msg("discovered a target")
			} else {
				n.log.Info().Str("Target", string(t.ID)).Str("Service", string(t.Service)).Str("Address", t.Address).
					Bool("Primary", t.Primary).Bool("Draining", t.Draining).Bool("Evacuated", t.Evacuated).Dur("Cold", t.ColdRemaining).Time("Born", t.StartedAt).Msg("a target's entry changed")
			}
			if t.Primary && (!ok || !old.Primary || !old.StartedAt.Equal(t.StartedAt)) {
				n.views.ClearDenial(t.Service, t.ID)
			}
		}
	}
	for id := range known {
		if _, ok := next[id]; !ok {
			n.log.Info().Str("Target", string(id)).Msg("a target is gone")
		}
	}
	if len(known) == 0 && len(next) > 0 {
		n.log.Info().Int("Targets", len(next)).Msg("discovered the first targets")
	}
	return next
}

// coverDepartures records that the staying replicas have the commits of a
// primary, and logs the targets that are no longer needed for that reason.
func (n *node) coverDepartures(service siskin.ServiceName, primary siskin.TargetID, asked time.Time) {
	spec, ok := n.table.Snapshot().Service(service)
	if !ok {
		return
	}
	for _, id := range n.roster.CoverDepartures(service, primary, spec.SyncReplicas, asked) {
		n.log.Info().Str("Service", string(service)).Str("Target", string(id)).Str("Primary", string(primary)).
			Msg("the staying replicas have the commits of a leaving target")
	}
}

// logEra logs that the store has returned from an older copy. The era of the
// first response is a gauge only.
func (n *node) logEra(before, now siskin.Era) {
	n.stats.Scope().Gauge("store_era").Update(float64(now))
	if before != 0 {
		n.log.Warn().Uint64("Before", uint64(before)).Uint64("Era", uint64(now)).Msg("the store has returned from an older copy")
	}
}

func (n *node) updateGauges() {
	n.updateClientGauges()
	c := n.homes.Counts()
	scope := n.stats.Scope()
	scope.Gauge("target_connections").Update(float64(c.Open))
	scope.Gauge("target_connections_opened").Update(float64(c.Opened))
	scope.Gauge("statements_waiting").Update(float64(c.Waiting))
	scope.Gauge("transactions_open").Update(float64(c.Transactions))
	scope.Gauge("sessions").Update(float64(n.entry.Sessions()))
	scope.Gauge("vms_live").Update(float64(len(n.crew.Live())))
	scope.Gauge("revision").Update(float64(n.table.Snapshot().Version))
}
