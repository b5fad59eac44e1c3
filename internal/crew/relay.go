package crew

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// relayCount is the number of VMs of each data centre of a large fleet that
	// ask other data centres for proofs of lead. The others ask them, so the
	// traffic between data centres does not grow with the number of VMs, and a
	// proof is older by one ping at most.
	relayCount = 2
	// relayInterval is the time between two pings of a relay elsewhere. News of
	// the configuration come with them, which has 3 s to be in force.
	relayInterval = 600 * time.Millisecond
	// silentFor is the time for which the report of a silent data centre counts.
	// It spans three pings.
	silentFor = 3*pingInterval + pingTimeout
	// minFailed is the number of VMs that must have failed to answer before
	// their data centre is held to be silent.
	minFailed = 2
)

// isRelay reports whether a VM is a relay of its data centre, as far as known.
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

// pingEvery returns the time between two pings of a peer of a large fleet, zero
// for one that is pinged when its turn comes.
func (c *Crew) pingEvery(m *member) time.Duration {
	id := m.node.ID
	switch {
	case c.near.StandbyFor[id], c.relay && c.near.Homes[id]:
		return pingInterval
	case c.near.PoolOwners[id]:
		return poolInterval
	case c.relay && !c.local(m) && c.isRelay(id, m.node.DataCentre):
		return relayInterval
	default:
		return 0
	}
}

// findSilent finds the data centres of which no VM answers. VMs there are not
// used, so that the homes of their targets move at once and not VM by VM.
func (c *Crew) findSilent(now time.Time) {
	heard := make(map[siskin.DataCentreID]time.Time)
	for _, m := range c.members {
		if dc := m.node.DataCentre; !c.local(m) && m.heard.After(heard[dc]) {
			heard[dc] = m.heard
		}
	}
	failed := make(map[siskin.DataCentreID]int)
	for _, m := range c.members {
		// VMs that were gone before the others fell silent tell nothing.
		if last := heard[m.node.DataCentre]; (m.failed || m.suspect) && last.Sub(m.heard) < deadAfter {
			failed[m.node.DataCentre]++
		}
	}
	for dc, last := range heard {
		if now.Sub(last) > suspectAfter && failed[dc] >= minFailed {
			c.noteSilent(dc, now.Add(silentFor))
		}
	}
}

// doubtDataCentre asks the VMs of a data centre that this relay pings often,
// since one of them did not answer. The caller holds mu.
func (c *Crew) doubtDataCentre(dc siskin.DataCentreID) {
	for _, m := range c.members {
		if c.relay && m.every != 0 && m.node.DataCentre == dc && !m.failed {
			m.next = time.Time{}
		}
	}
}

// noteSilent holds a data centre to be silent until the given time. The caller
// holds mu.
func (c *Crew) noteSilent(dc siskin.DataCentreID, until time.Time) {
	now := c.cfg.Clock.Now()
	if !now.Before(c.silent[dc]) {
		c.cfg.Log.Warn().Str("DataCentre", string(dc)).Msg("lost contact to a data centre")
	}
	if until.After(c.silent[dc]) {
		c.silent[dc] = until
	}
}

const (
	// lostFor is the time for which a relay tells of a VM that fell silent. Those
	// that ask it do so each pingInterval.
	lostFor = 2 * time.Second
	// maxLost bounds the VMs that are told with one answer. A whole data centre is
	// told of by its name.
	maxLost = 32
)

// lost returns the VMs that have just fallen silent. The caller holds mu.
func (c *Crew) lost(now time.Time) []siskin.VMID {
	var list []siskin.VMID
	for id, m := range c.members {
		quiet := now.Sub(m.heard)
		if (m.suspect || m.failed) && quiet < suspectAfter+lostFor && len(list) < maxLost {
			list = append(list, id)
		}
	}
	return list
}

// doubt pings VMs that a relay lost, unless this VM has done so lately. The caller
// holds mu.
func (c *Crew) doubt(ids []siskin.VMID) {
	now := c.cfg.Clock.Now()
	for _, id := range ids {
		if m := c.members[id]; m != nil && c.alive(m, now) && now.Sub(m.heard) > suspectAfter && now.Sub(m.doubted) > lostFor {
			m.doubted, m.next = now, time.Time{}
		}
	}
}

// silentDataCentres returns the data centres held to be silent. The caller holds
// mu.
func (c *Crew) silentDataCentres(now time.Time) []siskin.DataCentreID {
	var list []siskin.DataCentreID
	for dc, until := range c.silent {
		if now.Before(until) {
			list = append(list, dc)
		}
	}
	return list
}
