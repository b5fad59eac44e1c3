package crew

import "time"

// maxRightsAge is the age of a read of the record of shares up to which it is told
// to other VMs, for a few pings.
const maxRightsAge = 3 * time.Second

// pingState returns the state that this VM sends with a ping. It has no proofs,
// since they age in transit for an unknown time and are sent in replies only.
func (c *Crew) pingState() State {
	s := State{
		From: c.cfg.Self, Leaving: c.leaving.Load(), Revision: c.cfg.Table.Snapshot().Version,
		Overloads: c.overloadNotices(),
	}
	s.Rights, _ = c.limiter.RightsVersion()
	s.HasHolders, s.BoundsRights = s.Rights != 0, s.Rights == 0
	s.Targets, _ = c.cfg.Roster.Version()
	s.WantSizes = !c.cfg.Roster.SizesKnown()
	return s
}

// replyState returns the state that this VM sends in reply to a ping.
func (c *Crew) replyState() State {
	now := c.cfg.Clock.Now()
	s := c.pingState()
	s.RevisionAge = now.Sub(c.cfg.Table.Confirmed())
	_, read := c.limiter.RightsVersion()
	if age := now.Sub(read); age < maxRightsAge {
		s.RightsAge = age
	}
	s.Speeds = c.cfg.Homes.ReadSpeeds()
	s.Loads, s.Stamp, s.Released = c.cfg.Homes.Loads(), c.limiter.Stamp(), c.limiter.Released()
	_, listed := c.cfg.Roster.Version()
	s.TargetsAge, s.Sizes, s.Covered = now.Sub(listed), c.cfg.Roster.IncompleteSizes(), c.cfg.Roster.Covered()
	if list, version, at := c.cfg.Roster.Evacuations(); !at.IsZero() {
		s.Evacuations = &EvacuationList{DataCentres: list, Version: version, Age: now.Sub(at)}
	}
	c.mu.Lock()
	s.Known = len(c.members) + 1
	passAll := len(c.members) < fullMeshSize || c.relay
	if c.relay {
		s.Silent = c.silentDataCentres(now)
		s.Lost = c.lostMembers(now)
	}
	c.mu.Unlock()
	for _, spec := range c.cfg.Table.Snapshot().Services {
		l := c.cfg.Views.LatestProof(spec.Name)
		// In a large fleet only the homes of primaries and relays pass on
		// proofs.
		if age := now.Sub(l.At); l.Target != "" && age < maxProofAge && (passAll || c.cfg.IsHome(l.Target)) {
			s.Leads = append(s.Leads, AgedProof{Service: spec.Name, Target: l.Target, Position: l.Position, Term: l.Term, Age: age})
		}
	}
	return s
}
