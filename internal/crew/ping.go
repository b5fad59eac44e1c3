package crew

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/views"
)

// ping exchanges states with one peer.
func (c *Crew) ping(id siskin.VMID) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	asked := c.cfg.Clock.Now()
	args := c.question()
	args.WantNodes = c.wantsNodes(id)
	if args.KnownRun = c.knownRun(id); args.KnownRun != 0 {
		args.From = args.From.brief()
	}
	args.Loans = c.rates.Loans(id)
	var reply State
	err := c.cfg.Peers.Call(ctx, id, "Crew.Ping", args, &reply)
	c.mu.Lock()
	if m := c.members[id]; m != nil {
		if err != nil && !m.failed && !c.local(m) {
			c.doubtDataCentre(m.node.DataCentre)
		}
		m.pinging, m.failed = false, err != nil
		if now := c.cfg.Clock.Now(); err != nil && m.every == 0 {
			m.next = now.Add(m.untilNext(now)) // its turn may never come
		}
	}
	if err != nil {
		c.publish()
		c.mu.Unlock()
		return
	}
	nodes, nodesErr := nodesOf(&reply)
	for _, n := range nodes {
		c.learn(n)
	}
	c.incomplete = reply.Known > len(c.members)+1
	c.learn(reply.From)
	if m := c.members[reply.From.ID]; m != nil {
		if m.suspect || m.heard.IsZero() {
			c.cfg.Log.Info().Str("VM", string(reply.From.ID)).Uint64("Run", uint64(reply.From.Run)).Msg("contact to a VM")
		}
		m.heard, m.suspect, m.leaving = asked, false, reply.Leaving
		if c.local(m) {
			for _, dc := range reply.Silent {
				c.noteSilent(dc, asked.Add(silentFor))
			}
			c.doubt(reply.Lost)
		} else {
			delete(c.silent, m.node.DataCentre)
		}
	}
	c.publish()
	c.mu.Unlock()
	if nodesErr != nil {
		c.cfg.Log.Error().Err(nodesErr).Str("VM", string(id)).Msg("a list of VMs was not taken over from a peer")
	}
	if reply.Released {
		c.rates.HandleRelease(reply.From.ID, reply.Tokens)
	} else if c.rates.HandleStamp(reply.From.ID, reply.Stamp) {
		c.lendSoon(reply.From.ID)
	}
	c.absorb(&reply, asked)
}

// lendSoon pings a VM that holds pools again at once, since loans travel with
// pings and need a stamp of the VM.
func (c *Crew) lendSoon(id siskin.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[id]; m != nil && (c.near.PoolOwners[id] || len(c.members) < fullMesh) {
		m.next = time.Time{}
	}
}

// knownRun returns the run of a peer that has answered this VM, and so knows it.
func (c *Crew) knownRun(id siskin.VMID) siskin.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[id]; m != nil && !m.heard.IsZero() {
		return m.node.Run
	}
	return 0
}

// wantsNodes reports whether the peer should name the VMs that it knows: this
// VM asks a seed, or a peer knows more than it does.
func (c *Crew) wantsNodes(id siskin.VMID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	wants := m == nil || c.incomplete || len(c.members) < 2 && m.heard.IsZero()
	now := c.cfg.Clock.Now()
	if !wants || len(c.members) >= packNodesFrom && now.Sub(c.wantedNodes) < wantNodesEvery {
		return false
	}
	c.wantedNodes = now
	return true
}

// absorb takes over what a peer said; asked is the moment before the question.
func (c *Crew) absorb(s *State, asked time.Time) {
	for _, l := range s.Leads {
		c.cfg.Views.RecordProof(l.Service, views.PrimaryProof{Target: l.Target, Position: l.Position, Term: l.Term, At: asked.Add(-l.Age)})
	}
	for id, n := range s.Loads {
		c.cfg.Views.RecordLoad(id, n, asked)
	}
	c.catchUp(s, asked)
	c.cfg.Roster.LearnSizes(s.Sizes, asked)
}
