package member

// Receiver holds the methods that peers call. Register it as "Member".
type Receiver struct{ m *Members }

// Receiver returns the receiver of the methods Member.Probe and
// Member.ProbeFor.
func (m *Members) Receiver() *Receiver { return &Receiver{m} }

// Probe merges the message of a peer and answers with this VM's own.
func (r *Receiver) Probe(args *ProbeArgs, reply *ProbeReply) error {
	m := r.m
	m.receive(args.Message, nil)
	m.mu.Lock()
	defer m.mu.Unlock()
	reply.Message = m.core.message(m.clock.Now(), args.From.ID)
	if args.Join {
		reply.Members = m.core.after(args.After, joinPage)
	}
	return nil
}

// ProbeFor probes a member on behalf of a peer.
func (r *Receiver) ProbeFor(args *ProbeForArgs, reply *ProbeForReply) error {
	reply.Answered = r.m.exchange(args.Target, r.m.cfg.ProbeTimeout) == nil
	return nil
}
