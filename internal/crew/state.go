package crew

// question returns what this VM tells with a ping. Proofs age on the way by an
// unknown time, so they travel with answers only.
func (c *Crew) question() State {
	s := State{
		From: c.cfg.Self, Leaving: c.leaving.Load(), Revision: c.cfg.Table.Snapshot().Version,
		HasHolders: c.rates.Holders() != nil,
	}
	s.Targets, _ = c.cfg.Roster.Version()
	return s
}

// state returns what this VM answers to a ping.
func (c *Crew) state() State {
	now := c.cfg.Clock.Now()
	s := c.question()
	s.RevisionAge = now.Sub(c.cfg.Table.Confirmed())
	s.Loads, s.Stamp, s.Released = c.cfg.Homes.Loads(), c.rates.Stamp(), c.rates.Released()
	_, listed := c.cfg.Roster.Version()
	s.TargetsAge, s.Sizes = now.Sub(listed), c.cfg.Roster.IncompleteSizes()
	if list, version, at := c.cfg.Roster.Evacuations(); !at.IsZero() {
		s.Evacuations = &EvacuationNote{DataCentres: list, Version: version, Age: now.Sub(at)}
	}
	c.mu.Lock()
	s.Known = len(c.members) + 1
	every := len(c.members) < fullMesh || c.relay
	if c.relay {
		s.Silent = c.silentDataCentres(now)
		s.Lost = c.lost(now)
	}
	c.mu.Unlock()
	for _, spec := range c.cfg.Table.Snapshot().Services {
		l := c.cfg.Views.LatestProof(spec.Name)
		// In a large fleet proofs come from the homes of primaries and from relays.
		if age := now.Sub(l.At); l.Target != "" && age < freshLead && (every || c.cfg.IsHome(l.Target)) {
			s.Leads = append(s.Leads, LeadNote{Service: spec.Name, Target: l.Target, Position: l.Position, Term: l.Term, Age: age})
		}
	}
	return s
}
