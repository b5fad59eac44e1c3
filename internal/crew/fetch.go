package crew

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

const (
	// fetchTimeout bounds the transfer of a configuration of up to 1 MB.
	fetchTimeout = 2 * time.Second
	// freshLead is the age up to which proofs of lead are passed on.
	freshLead = 1500 * time.Millisecond
)

// fetchIfNewer fetches what a peer has and this VM lacks.
func (c *Crew) fetchIfNewer(s *State) {
	version, _ := c.cfg.Roster.Version()
	lacksHolders := s.HasHolders && c.rates.Holders() == nil
	if s.Revision <= c.cfg.Table.Snapshot().Version && s.Targets <= version && !lacksHolders {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[s.From.ID]; m != nil && !m.fetching {
		m.fetching = true
		c.done.Go(func() { c.fetch(s.From.ID) })
	}
}

// catchUp takes over how new a peer's state is, and fetches what is newer.
func (c *Crew) catchUp(s *State, asked time.Time) {
	revision := c.cfg.Table.Snapshot().Version
	if s.Revision == revision && revision > 0 {
		c.cfg.Table.Confirm(asked.Add(-s.RevisionAge))
	}
	c.cfg.Roster.Confirm(s.Targets, asked.Add(-s.TargetsAge))
	c.fetchIfNewer(s)
}

// fetch asks a peer for a newer configuration or list of targets.
func (c *Crew) fetch(id siskin.VMID) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	asked := c.cfg.Clock.Now()
	args := FetchArgs{Revision: c.cfg.Table.Snapshot().Version, WantHolders: c.rates.Holders() == nil}
	args.Targets, _ = c.cfg.Roster.Version()
	var reply FetchReply
	err := c.cfg.Peers.Call(ctx, id, "Crew.Fetch", args, &reply)
	c.mu.Lock()
	if m := c.members[id]; m != nil {
		m.fetching = false
	}
	c.mu.Unlock()
	if err != nil {
		c.cfg.Log.Warn().Err(err).Str("VM", string(id)).Msg("state was not fetched from a peer")
		return
	}
	if len(reply.Configuration) > 0 {
		c.cfg.Apply(reply.Configuration, string(id))
	}
	if args.WantHolders && len(reply.Holders) > 0 {
		c.rates.SetHolders(reply.Holders)
	}
	if reply.TargetVersion > 0 {
		c.cfg.Roster.Replace(reply.Targets, reply.TargetVersion, asked.Add(-reply.TargetAge))
	}
}

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
	s.Waiting, s.Stamp, s.Released = c.cfg.Homes.Waiting(), c.rates.Stamp(), c.rates.Released()
	_, listed := c.cfg.Roster.Version()
	s.TargetsAge = now.Sub(listed)
	c.mu.Lock()
	s.Known = len(c.members) + 1
	large := len(c.members) >= fullMesh
	c.mu.Unlock()
	for _, spec := range c.cfg.Table.Snapshot().Services {
		l := c.cfg.Views.Lead(spec.Name)
		// In a large fleet each VM asks the homes of primaries themselves.
		if age := now.Sub(l.At); l.Target != "" && age < freshLead && (!large || c.cfg.IsHome(l.Target)) {
			s.Leads = append(s.Leads, LeadNote{spec.Name, l.Target, l.Position, age})
		}
	}
	return s
}

// Receiver serves the calls of peers under the name Crew.
type Receiver struct{ c *Crew }

// Receiver returns the receiver to register.
func (c *Crew) Receiver() *Receiver { return &Receiver{c} }

// Ping exchanges states.
func (r *Receiver) Ping(args *State, reply *State) error {
	// The proofs in a ping have aged on the way by an unknown time, so only
	// those in answers are taken over.
	r.c.Learn(args.From)
	r.c.fetchIfNewer(args)
	r.c.noteLeaving(args)
	if args.Loans != nil {
		r.c.rates.Lent(args.Loans)
	}
	*reply = r.c.state()
	if args.WantNodes {
		reply.Nodes = r.c.Nodes()
	}
	return nil
}

func (c *Crew) noteLeaving(s *State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[s.From.ID]; m != nil && m.leaving != s.Leaving && s.From.Run == m.node.Run {
		m.leaving = s.Leaving
		c.publish()
	}
}

// Fetch returns what is newer than the caller's state.
func (r *Receiver) Fetch(args *FetchArgs, reply *FetchReply) error {
	c := r.c
	if snap := c.cfg.Table.Snapshot(); snap.Version > args.Revision {
		reply.Configuration = snap.Encoded
	}
	if args.WantHolders {
		reply.Holders = c.rates.Holders()
	}
	if list, version, at := c.cfg.Roster.Listed(); version > args.Targets {
		reply.Targets, reply.TargetVersion, reply.TargetAge = list, version, c.cfg.Clock.Since(at)
	}
	return nil
}
