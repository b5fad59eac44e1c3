package crew

import (
	"time"

	"siskintray.example/siskin"
)

// latestContactAge is the age of the last contact to a VM up to which this VM
// would know of a list of targets that the other one had before. A call of the
// store may have begun a second before that.
const latestContactAge = 1500 * time.Millisecond

// HasLatestTargets reports whether no other VM is known to have, or may have had
// for long, a newer list of targets than this one. A VM that had been gone for
// removedAfter when the list was read is not asked.
func (c *Crew) HasLatestTargets() bool {
	version, listed := c.cfg.Roster.Version()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	if len(c.members) >= fullMeshSize {
		return c.relaysHaveNoNewer(version, now)
	}
	for _, m := range c.members {
		contact := m.lastHeard
		if contact.IsZero() {
			contact = m.knownSince
		}
		if listed.Sub(contact) > removedAfter {
			continue
		}
		if m.lastHeard.IsZero() || now.Sub(m.lastHeard) > latestContactAge || m.targets > version {
			return false
		}
	}
	return true
}

// relaysHaveNoNewer reports the same in a large fleet, in which lists spread by
// way of the relays: one of this data centre answers, or at a relay one VM of
// each data centre, and no data centre is silent. The caller holds mu.
func (c *Crew) relaysHaveNoNewer(version siskin.Version, now time.Time) bool {
	heard := make(map[siskin.DataCentreID]bool)
	for _, m := range c.members {
		dc := m.node.DataCentre
		recent := !m.lastHeard.IsZero() && now.Sub(m.lastHeard) <= latestContactAge
		if recent && m.targets > version {
			return false
		}
		if c.relay || c.isLocal(m) {
			heard[dc] = heard[dc] || recent && (c.relay || c.isRelay(m.node.ID, dc))
		}
		if now.Before(c.silentUntil[dc]) {
			return false
		}
	}
	for _, ok := range heard {
		if !ok {
			return false
		}
	}
	return true
}

// syncReplicas returns the number of replicas that must receive a commit of a
// service. For a service that is not configured it is so large that no replica
// can be spared.
func (c *Crew) syncReplicas(name siskin.ServiceName) int {
	if s, ok := c.cfg.Table.Snapshot().Service(name); ok {
		return s.SyncReplicas
	}
	return unknownSyncReplicas
}

// unknownSyncReplicas exceeds the number of targets of any group.
const unknownSyncReplicas = 1 << 16
