package crew

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

const (
	// fetchTimeout bounds the transfer of a configuration of up to 1 MB, which
	// is some 100 KB when compressed.
	fetchTimeout = 1200 * time.Millisecond
	// maxFetches bounds the fetches at a time. All bring the same; the second one
	// is for a peer that falls silent.
	maxFetches = 2
	// maxLeadAge is the age up to which proofs of lead are passed on.
	maxLeadAge = 1500 * time.Millisecond
)

// fetchIfNewer fetches what a peer has and this VM lacks.
func (c *Crew) fetchIfNewer(s *State) {
	version, _ := c.cfg.Roster.Version()
	lacksHolders := s.HasHolders && c.limiter.Holders() == nil
	if s.Revision <= c.cfg.Table.Snapshot().Version && s.Targets <= version && !lacksHolders {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[s.From.ID]; m != nil && !m.fetching && c.fetches < maxFetches {
		m.fetching = true
		c.fetches++
		c.done.Go(func() { c.fetch(s.From.ID) })
	}
}

// applyVersions takes over how new a peer's state is, and fetches what is newer.
func (c *Crew) applyVersions(s *State, asked time.Time) {
	revision := c.cfg.Table.Snapshot().Version
	if s.Revision == revision && revision > 0 {
		c.cfg.Table.Confirm(asked.Add(-s.RevisionAge))
	}
	c.cfg.Roster.Confirm(s.Targets, asked.Add(-s.TargetsAge))
	if e := s.Evacuations; e != nil {
		c.cfg.Roster.ReplaceEvacuations(e.DataCentres, e.Version, asked.Add(-e.Age))
	}
	c.fetchIfNewer(s)
}

// fetch asks a peer for a newer configuration or list of targets.
func (c *Crew) fetch(id siskin.VMID) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	asked := c.cfg.Clock.Now()
	args := FetchArgs{Revision: c.cfg.Table.Snapshot().Version, WantHolders: c.limiter.Holders() == nil}
	args.Targets, _ = c.cfg.Roster.Version()
	var reply FetchReply
	err := c.cfg.Peers.Call(ctx, id, "Crew.Fetch", args, &reply)
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.fetches--
		if m := c.members[id]; m != nil {
			m.fetching = false
		}
	}()
	if err != nil {
		c.cfg.Log.Warn().Err(err).Str("VM", string(id)).Msg("state was not fetched from a peer")
		return
	}
	if len(reply.Configuration) > 0 {
		encoded, err := unpack(reply.Configuration)
		if err != nil {
			c.cfg.Log.Error().Err(err).Str("VM", string(id)).Msg("a configuration was not taken over from a peer")
			return
		}
		c.cfg.Apply(encoded, string(id))
	}
	if args.WantHolders && len(reply.Holders) > 0 {
		c.limiter.SetHolders(reply.Holders)
	}
	if reply.TargetVersion > 0 {
		c.cfg.Roster.Replace(reply.Targets, reply.TargetVersion, asked.Add(-reply.TargetAge))
	}
}
