package crew

import (
	"context"
	"time"

	"siskintray.example/siskin"
)

const (
	// fetchAfter is the silence of the store after which a VM asks its peers for
	// the targets. A waiting watch of the targets ends within this time.
	fetchAfter = 12 * time.Second
	// fetchTimeout bounds the transfer of a configuration of up to 1 MB.
	fetchTimeout = 2 * time.Second
	// freshLead is the age up to which proofs of lead are passed on.
	freshLead = 1500 * time.Millisecond
)

// fetch asks a peer for a newer configuration or list of targets.
func (c *Crew) fetch(id siskin.VMID) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	asked := c.cfg.Clock.Now()
	args := FetchArgs{Revision: c.cfg.Table.Snapshot().Version, StoreAge: asked.Sub(c.cfg.Roster.Heard())}
	var reply FetchReply
	if err := c.cfg.Peers.Call(ctx, id, "Crew.Fetch", args, &reply); err != nil {
		c.cfg.Log.Warn().Err(err).Str("VM", string(id)).Msg("state was not fetched from a peer")
		return
	}
	if len(reply.Configuration) > 0 {
		c.cfg.Apply(reply.Configuration, string(id))
	}
	if len(reply.Targets) > 0 {
		c.cfg.Roster.Replace(reply.Targets, asked.Add(-reply.StoreAge))
	}
}

// fetchTargets asks the peer that heard the store last, if it did so later than
// this VM. The caller holds mu.
func (c *Crew) fetchTargets(now time.Time) {
	var best siskin.VMID
	age := now.Sub(c.cfg.Roster.Heard())
	for id, m := range c.members {
		if m.alive(now) && m.state.StoreAge+now.Sub(m.heard) < age {
			best, age = id, m.state.StoreAge+now.Sub(m.heard)
		}
	}
	if best != "" {
		c.done.Go(func() { c.fetch(best) })
	}
}

// state returns what this VM tells its peers.
func (c *Crew) state() State {
	now := c.cfg.Clock.Now()
	s := State{
		From: c.cfg.Self, Leaving: c.leaving.Load(), Revision: c.cfg.Table.Snapshot().Version,
		Waiting: c.cfg.Homes.Waiting(), StoreAge: now.Sub(c.cfg.Roster.Heard()),
		Stamp: c.rates.Stamp(),
	}
	for _, spec := range c.cfg.Table.Snapshot().Services {
		l := c.cfg.Views.Lead(spec.Name)
		if age := now.Sub(l.At); l.Target != "" && age < freshLead {
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
	if args.Revision > r.c.cfg.Table.Snapshot().Version {
		r.c.done.Go(func() { r.c.fetch(args.From.ID) })
	}
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
	reply.StoreAge = c.cfg.Clock.Since(c.cfg.Roster.Heard())
	if reply.StoreAge < args.StoreAge {
		reply.Targets = c.cfg.Roster.All()
	}
	return nil
}
