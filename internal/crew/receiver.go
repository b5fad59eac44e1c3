package crew

import "time"

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
	r.c.recordLeaving(args)
	r.c.pingRecovered(args.From)
	if args.Loans != nil {
		r.c.limiter.AcceptLoans(args.Loans)
	}
	*reply = r.c.replyState()
	if reply.Released {
		reply.Tokens = r.c.limiter.TakeReturnedTokens(args.From.ID)
	}
	if args.KnownRun == reply.From.Run {
		reply.From = reply.From.brief()
	}
	if args.WantNodes {
		return r.c.addNodes(reply)
	}
	return nil
}

// pingRecovered pings a peer again at once that is held to be silent and has just
// asked this VM.
func (c *Crew) pingRecovered(n Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[n.ID]; m != nil && (m.suspect || m.pingFailed) && n.Run >= m.node.Run {
		m.nextPing = time.Time{}
	}
}

func (c *Crew) recordLeaving(s *State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[s.From.ID]; m != nil && m.leaving != s.Leaving && s.From.Run == m.node.Run {
		m.leaving = s.Leaving
		m.nextPing = time.Time{} // its answer gives back what was lent to it
		c.updateLive()
	}
}

// Fetch returns what is newer than the caller's state.
func (r *Receiver) Fetch(args *FetchArgs, reply *FetchReply) error {
	c := r.c
	if snap := c.cfg.Table.Snapshot(); snap.Version > args.Revision {
		var err error
		if reply.Configuration, err = c.packedConfig.pack(snap.Version, snap.Encoded); err != nil {
			return err
		}
	}
	if args.WantHolders {
		reply.Holders = c.limiter.Holders()
	}
	if list, version, at := c.cfg.Roster.Listed(); version > args.Targets {
		reply.Targets, reply.TargetVersion, reply.TargetAge = list, version, c.cfg.Clock.Since(at)
	}
	return nil
}
