package crew

import (
	"context"
	"errors"
	"syscall"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/views"
)

// ping exchanges state with one peer.
func (c *Crew) ping(id siskin.VMID) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	sentAt := c.cfg.Clock.Now()
	args := c.pingState()
	args.WantNodes = c.wantsNodes(id)
	if args.KnownRun = c.knownRun(id); args.KnownRun != 0 {
		args.From = args.From.brief()
	}
	args.Loans = c.limiter.Loans(id)
	var reply State
	err := c.cfg.Peers.Call(ctx, id, "Crew.Ping", args, &reply)
	c.mu.Lock()
	if m := c.members[id]; m != nil {
		if err != nil && !m.pingFailed && !c.isLocal(m) {
			c.pingDataCentre(m.node.DataCentre)
		}
		m.pinging, m.pingFailed = false, err != nil
		if now := c.cfg.Clock.Now(); err != nil && m.interval == 0 {
			m.nextPing = now.Add(m.nextInterval(now)) // choosePeers may never select it
		}
	}
	if err != nil {
		c.updateLive()
		c.mu.Unlock()
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.Suspect(id, err) // its process has ended
		}
		return
	}
	nodes, nodesErr := nodesOf(&reply)
	for _, n := range nodes {
		c.learn(n)
	}
	c.incomplete = reply.Known > len(c.members)+1
	c.learn(reply.From)
	c.learnNotices(reply.Overloads)
	if m := c.members[reply.From.ID]; m != nil {
		if m.suspect || m.lastHeard.IsZero() {
			c.cfg.Log.Info().Str("VM", string(reply.From.ID)).Uint64("Run", uint64(reply.From.Run)).Msg("contact to a VM")
		}
		m.lastHeard, m.suspect, m.leaving, m.targets = sentAt, false, reply.Leaving, reply.Targets
		if c.isLocal(m) {
			for _, dc := range reply.Silent {
				c.markSilent(dc, sentAt.Add(silentReportTTL))
			}
			c.pingLost(reply.Lost)
		} else {
			delete(c.silentUntil, m.node.DataCentre)
		}
	}
	c.updateLive()
	c.mu.Unlock()
	c.recordRights(&reply)
	if nodesErr != nil {
		c.cfg.Log.Error().Err(nodesErr).Str("VM", string(id)).Msg("could not decode a list of VMs from a peer")
	}
	if reply.Released {
		c.limiter.HandleRelease(reply.From.ID, reply.Tokens)
	} else if c.limiter.HandleStamp(reply.From.ID, reply.Stamp) {
		c.pingPoolOwner(reply.From.ID)
	}
	c.applyReply(&reply, sentAt)
}

// pingPoolOwner schedules another ping of an owner of pools at once, since
// loans are sent with pings and need a stamp of the owner.
func (c *Crew) pingPoolOwner(id siskin.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[id]; m != nil && (c.priority.PoolOwners[id] || len(c.members) < fullMeshSize) {
		m.nextPing = time.Time{}
	}
}

// knownRun returns the known run of a peer that has answered this VM, and
// therefore knows this VM, or zero.
func (c *Crew) knownRun(id siskin.VMID) siskin.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[id]; m != nil && !m.lastHeard.IsZero() {
		return m.node.Run
	}
	return 0
}

// wantsNodes reports whether to ask a peer for the VMs that it knows: the peer
// is a seed, or some peer knows more VMs than this one.
func (c *Crew) wantsNodes(id siskin.VMID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	wants := m == nil || c.incomplete || len(c.members) < 2 && m.lastHeard.IsZero()
	now := c.cfg.Clock.Now()
	if !wants || len(c.members) >= minPackedNodes && now.Sub(c.nodesRequestedAt) < nodesRequestInterval {
		return false
	}
	c.nodesRequestedAt = now
	return true
}

// applyReply applies the state in a peer's reply; sentAt is the time when the
// ping was sent.
func (c *Crew) applyReply(s *State, sentAt time.Time) {
	for _, l := range s.Leads {
		c.cfg.Views.RecordProof(l.Service, views.PrimaryProof{Target: l.Target, Position: l.Position, Term: l.Term, At: sentAt.Add(-l.Age)})
	}
	for id, n := range s.Loads {
		c.cfg.Views.RecordLoad(id, n, sentAt)
	}
	for id, reports := range s.Speeds {
		c.cfg.Views.RecordReads(id, reports, sentAt)
	}
	c.applyVersions(s, sentAt)
	c.cfg.Roster.LearnSizes(s.Sizes, sentAt)
	c.cfg.Roster.LearnCovered(s.Covered, c.syncReplicas, sentAt)
	if len(s.SizesOfAll) > 0 {
		c.cfg.Roster.LearnSizesOfAll(s.SizesOfAll, sentAt)
	}
}
