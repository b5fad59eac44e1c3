package crew

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

const (
	// fetchTimeout bounds the transfer of a configuration of up to 1 MB, which
	// is about 100 KB when compressed.
	fetchTimeout = 1200 * time.Millisecond
	// maxFetches is the number of concurrent fetches. All of them fetch the
	// same data; the second one is for the case that a peer stops answering.
	maxFetches = 2
	// maxProofAge is the age up to which primary proofs are passed on.
	maxProofAge = 1500 * time.Millisecond
)

// fetchIfNewer starts a fetch if the peer has a newer configuration, newer
// targets or a newer record of shares.
func (c *Crew) fetchIfNewer(s *State) {
	version, _ := c.cfg.Roster.Version()
	rights, _ := c.limiter.RightsVersion()
	if s.Revision <= c.cfg.Table.Snapshot().Version && s.Targets <= version && s.Rights <= rights {
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

// applyVersions updates the times at which this VM's data was known to be
// current from a peer's state, and fetches data that is newer. sentAt is the
// time when the ping was sent.
func (c *Crew) applyVersions(s *State, sentAt time.Time) {
	revision := c.cfg.Table.Snapshot().Version
	if s.Revision == revision && revision > 0 {
		c.cfg.Table.Confirm(sentAt.Add(-s.RevisionAge))
	}
	c.cfg.Roster.Confirm(s.Targets, sentAt.Add(-s.TargetsAge))
	if s.RightsAge > 0 {
		c.limiter.ConfirmRights(s.Rights, sentAt.Add(-s.RightsAge))
	}
	if e := s.Evacuations; e != nil {
		c.cfg.Roster.ReplaceEvacuations(e.DataCentres, e.Version, sentAt.Add(-e.Age))
	}
	c.fetchIfNewer(s)
}

// fetch asks a peer for a newer configuration or list of targets.
func (c *Crew) fetch(id siskin.VMID) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	sentAt := c.cfg.Clock.Now()
	args := FetchArgs{Revision: c.cfg.Table.Snapshot().Version}
	args.Targets, _ = c.cfg.Roster.Version()
	args.Rights, _ = c.limiter.RightsVersion()
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
		c.cfg.Log.Warn().Err(err).Str("VM", string(id)).Msg("could not fetch state from a peer")
		return
	}
	if len(reply.Configuration) > 0 {
		encoded, err := unpack(reply.Configuration)
		if err != nil {
			c.cfg.Log.Error().Err(err).Str("VM", string(id)).Msg("could not decompress a configuration from a peer")
			return
		}
		c.cfg.Apply(encoded, string(id))
	}
	if reply.Rights != nil {
		c.limiter.SetRights(*reply.Rights, sentAt.Add(-reply.RightsAge))
	}
	if reply.TargetVersion > 0 {
		c.cfg.Roster.Replace(reply.Targets, reply.TargetVersion, sentAt.Add(-reply.TargetAge))
	}
}
