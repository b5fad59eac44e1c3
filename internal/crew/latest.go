package crew

import (
	"time"

	"siskintray.example/siskin"
)

// leaveMargin is the time beyond the grace of a planned stop after which a VM that
// was leaving and does not answer has ended.
const leaveMargin = 4 * time.Second

// latestContactAge is the age of the last contact to a VM up to which this VM
// would know of later data that the other one had before. A call of the store may
// have begun a second before that.
const latestContactAge = 1500 * time.Millisecond

// HasLatestTargets reports whether no other VM is known to have, or may have had
// for long, a newer list of targets than this one.
func (c *Crew) HasLatestTargets() bool {
	version, listed := c.cfg.Roster.Version()
	return c.hasLatest(listed, func(m *member) bool { return m.targets > version })
}

// HasLatestRights reports the same for a record of shares that was read at the
// given time.
func (c *Crew) HasLatestRights(version siskin.Version, read time.Time) bool {
	return c.hasLatest(read, func(m *member) bool { return m.rights > version })
}

// hasLatest reports whether this VM is in contact with all others and none has
// later data than this VM has read at the given time. A VM that has left, or had
// been gone for removedAfter by then, is not asked.
func (c *Crew) hasLatest(read time.Time, isLater func(*member) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	if len(c.members) >= fullMeshSize {
		return c.relaysHaveLatest(isLater, now)
	}
	for _, m := range c.members {
		contact := m.lastHeard
		if contact.IsZero() {
			contact = m.knownSince
		}
		if read.Sub(contact) > removedAfter || m.leaving && now.Sub(contact) > c.cfg.StopGrace+leaveMargin {
			continue
		}
		if m.lastHeard.IsZero() || now.Sub(m.lastHeard) > latestContactAge || isLater(m) {
			return false
		}
	}
	return true
}

// relaysHaveLatest is hasLatest for a large fleet, in which data spreads by way
// of the relays: one of this data centre answers, or at a relay one VM of each
// data centre, and no data centre is silent. The caller holds mu.
func (c *Crew) relaysHaveLatest(isLater func(*member) bool, now time.Time) bool {
	heard := make(map[siskin.DataCentreID]bool)
	for _, m := range c.members {
		dc := m.node.DataCentre
		recent := !m.lastHeard.IsZero() && now.Sub(m.lastHeard) <= latestContactAge
		if recent && isLater(m) || now.Before(c.silentUntil[dc]) {
			return false
		}
		if c.relay || c.isLocal(m) {
			heard[dc] = heard[dc] || recent && (c.relay || c.isRelay(m.node.ID, dc))
		}
	}
	for _, ok := range heard {
		if !ok {
			return false
		}
	}
	return true
}

// recordRights records what a peer knows of the shares of rates.
func (c *Crew) recordRights(s *State) {
	c.limiter.RecordAware(s.From.ID, s.Rights, c.cfg.Clock.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[s.From.ID]; m != nil && s.From.Run == m.node.Run {
		m.rights, m.boundsRights = s.Rights, s.BoundsRights || s.Rights != 0
	}
}

// BoundsRights reports whether a VM is known to bound the use of its share.
func (c *Crew) BoundsRights(id siskin.VMID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	return id == c.cfg.Self.ID || m != nil && m.boundsRights
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
