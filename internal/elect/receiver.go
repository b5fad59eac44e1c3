package elect

import "siskintray.example/siskin/internal/crew"

// Receiver serves the calls of peers under the name Elect.
type Receiver struct{ e *Elector }

// Receiver returns the receiver to register.
func (e *Elector) Receiver() *Receiver { return &Receiver{e} }

// Announce handles the announcement of a change of primary.
func (r *Receiver) Announce(args *Announcement, _ *struct{}) error {
	if args.Hold.For > 0 {
		r.e.cfg.Views.BeginChange(args.Hold.Service, args.Old, r.e.cfg.Clock.Now().Add(min(args.Hold.For, changeNoticeTTL)))
		return nil
	}
	if args.Fence != 0 {
		r.e.tokens.recordUse(args.Hold.Service, args.Fence, args.Term)
	}
	r.e.tasks.Go(func() { r.e.fetchProof(args) })
	r.e.tasks.Go(func() { r.e.refreshToken(maxRefreshDelay) })
	return nil
}

// Lead returns the newest proof of a service's primary that this VM knows. The
// target is empty if there is none.
func (r *Receiver) Lead(args *LeadArgs, reply *crew.AgedProof) error {
	now := r.e.cfg.Clock.Now()
	if l := r.e.cfg.Views.LatestProof(args.Service); l.Target != "" {
		*reply = crew.AgedProof{Service: args.Service, Target: l.Target, Position: l.Position, Term: l.Term, Age: now.Sub(l.At)}
	}
	return nil
}
