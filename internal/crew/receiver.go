package crew

import "time"

// Receiver serves the remote calls of peers under the service name Crew.
type Receiver struct{ c *Crew }

// Receiver returns the receiver to register.
func (c *Crew) Receiver() *Receiver { return &Receiver{c} }

// Ping processes the state of a peer and returns that of this VM.
func (r *Receiver) Ping(args *State, reply *State) error {
	// A ping has aged in transit for an unknown time, so proofs and versions
	// are applied only from replies.
	r.c.Learn(args.From)
	r.c.LearnNotices(args.Overloads)
	r.c.fetchIfNewer(args)
	r.c.recordLeaving(args)
	r.c.recordRights(args)
	r.c.pingRecovered(args.From)
	if args.Loans != nil {
		r.c.limiter.AcceptLoans(args.Loans)
	}
	*reply = r.c.replyState()
	if reply.Released {
		reply.Tokens = r.c.limiter.TakeReturnedTokens(args.From.ID)
	}
	if args.WantSizes {
		reply.SizesOfAll = r.c.cfg.Roster.SizesOfAll()
	}
	if args.KnownRun == reply.From.Run {
		reply.From = reply.From.brief()
	}
	if args.WantNodes {
		return r.c.addNodes(reply)
	}
	return nil
}

// pingRecovered schedules a ping of a peer that was suspect or didn't answer
// the last ping, because it has just sent one itself.
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
		m.nextPing = time.Time{} // the reply returns the tokens lent to it
		c.updateLive()
	}
}

// Fetch returns the data that is newer than the caller's.
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
	if r, read := c.limiter.Rights(); r.Version > args.Rights {
		reply.Rights, reply.RightsAge = &r, c.cfg.Clock.Since(read)
	}
	if list, version, at := c.cfg.Roster.Listed(); version > args.Targets {
		reply.Targets, reply.TargetVersion, reply.TargetAge = list, version, c.cfg.Clock.Since(at)
	}
	return nil
}
