package crew

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// relayCount is the number of VMs in each data centre of a large fleet that
	// request primary proofs from other data centres. The other VMs request
	// them from the relays, so the traffic between data centres does not grow
	// with the number of VMs, and a proof is older by at most one ping.
	relayCount = 2
	// relayInterval is the time between two pings of a relay in another data
	// centre. They carry the version of the configuration, which must be in
	// effect within 3 s.
	relayInterval = 600 * time.Millisecond
	// silentReportTTL is the time for which a report of a silent data centre is
	// valid. It spans three pings.
	silentReportTTL = 3*pingInterval + pingTimeout
	// minFailed is the number of VMs that must have failed to answer before
	// their data centre counts as silent.
	minFailed = 2
)

// isRelay reports whether a VM is a relay of its data centre, in this VM's view
// of the fleet.
func (c *Crew) isRelay(id siskin.VMID, dc siskin.DataCentreID) bool {
	ranked := c.ranker.Rank("relay/"+string(dc), c.live, func(live []siskin.VM) []siskin.VM {
		var in []siskin.VM
		for _, vm := range live {
			if vm.DataCentre == dc {
				in = append(in, vm)
			}
		}
		return in
	})
	for _, vm := range ranked[:min(relayCount, len(ranked))] {
		if vm.ID == id {
			return true
		}
	}
	return false
}

// largeFleetInterval returns the time between two pings of a peer of a large
// fleet. It is zero for a peer that is pinged only when choosePeers selects it.
func (c *Crew) largeFleetInterval(m *member) time.Duration {
	id := m.node.ID
	switch {
	case c.priority.StandbyFor[id], c.relay && c.priority.Homes[id]:
		return pingInterval
	case c.priority.PoolOwners[id]:
		return poolOwnerInterval
	case c.relay && !c.isLocal(m) && c.isRelay(id, m.node.DataCentre):
		return relayInterval
	default:
		return 0
	}
}

// detectSilent detects the data centres of which no VM answers. Their VMs are
// not used, so that the homes of their targets move all at once rather than VM
// by VM.
func (c *Crew) detectSilent(now time.Time) {
	lastHeard := make(map[siskin.DataCentreID]time.Time)
	for _, m := range c.members {
		if dc := m.node.DataCentre; !c.isLocal(m) && m.lastHeard.After(lastHeard[dc]) {
			lastHeard[dc] = m.lastHeard
		}
	}
	pingFailed := make(map[siskin.DataCentreID]int)
	for _, m := range c.members {
		// Ignores VMs that stopped answering long before the others.
		if last := lastHeard[m.node.DataCentre]; (m.pingFailed || m.suspect) && last.Sub(m.lastHeard) < deadAfter {
			pingFailed[m.node.DataCentre]++
		}
	}
	for dc, last := range lastHeard {
		if now.Sub(last) > suspectAfter && pingFailed[dc] >= minFailed {
			c.markSilent(dc, now.Add(silentReportTTL))
		}
	}
}

// pingDataCentre schedules pings of the VMs of a data centre that this relay
// pings regularly, because one of them did not answer. The caller holds mu.
func (c *Crew) pingDataCentre(dc siskin.DataCentreID) {
	for _, m := range c.members {
		if c.relay && m.interval != 0 && m.node.DataCentre == dc && !m.pingFailed {
			m.nextPing = time.Time{}
		}
	}
}

// markSilent marks a data centre as silent until the given time. The caller
// holds mu.
func (c *Crew) markSilent(dc siskin.DataCentreID, until time.Time) {
	now := c.cfg.Clock.Now()
	if !now.Before(c.silentUntil[dc]) {
		c.cfg.Log.Warn().Str("DataCentre", string(dc)).Msg("lost contact to a data centre")
	}
	if until.After(c.silentUntil[dc]) {
		c.silentUntil[dc] = until
	}
}

const (
	// lostReportTime is the time for which a relay reports a VM that stopped
	// answering. Other VMs ping a relay every pingInterval.
	lostReportTime = 2 * time.Second
	// maxLost is the largest number of lost VMs in one reply. A whole data
	// centre is reported by its id.
	maxLost = 32
)

// lostMembers returns the VMs that have recently stopped answering. The caller
// holds mu.
func (c *Crew) lostMembers(now time.Time) []siskin.VMID {
	var list []siskin.VMID
	for id, m := range c.members {
		sinceHeard := now.Sub(m.lastHeard)
		if (m.suspect || m.pingFailed) && sinceHeard < suspectAfter+lostReportTime && len(list) < maxLost {
			list = append(list, id)
		}
	}
	return list
}

// pingLost schedules pings of VMs that a relay reported as lost, unless this VM
// has done so recently. The caller holds mu.
func (c *Crew) pingLost(ids []siskin.VMID) {
	now := c.cfg.Clock.Now()
	for _, id := range ids {
		if m := c.members[id]; m != nil && c.alive(m, now) && now.Sub(m.lastHeard) > suspectAfter && now.Sub(m.lostPingedAt) > lostReportTime {
			m.lostPingedAt, m.nextPing = now, time.Time{}
		}
	}
}

// silentDataCentres returns the data centres that count as silent. The caller
// holds mu.
func (c *Crew) silentDataCentres(now time.Time) []siskin.DataCentreID {
	var list []siskin.DataCentreID
	for dc, until := range c.silentUntil {
		if now.Before(until) {
			list = append(list, dc)
		}
	}
	return list
}
