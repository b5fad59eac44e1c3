package elect

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/crew"
	"siskintray.example/siskin/internal/views"
)

// announceDelay is taken as the time that an announcement spent on its way. It
// is longer than its time-out, so the proof is never held to be younger than it is.
const announceDelay = announceTimeout

// Announcement tells of a change of primary.
type Announcement struct {
	Lead crew.LeadNote
	// Fence is the one of the promotion, zero where the platform checks fences.
	Fence siskin.Fence `json:",omitempty"`
	// Old is the target that led before.
	Old  siskin.TargetID
	Hold crew.HoldNote
}

// Receiver serves the calls of peers under the name Elect.
type Receiver struct{ e *Elector }

// Receiver returns the receiver to register.
func (e *Elector) Receiver() *Receiver { return &Receiver{e} }

// Announce takes over a change of primary.
func (r *Receiver) Announce(args *Announcement, _ *struct{}) error {
	now := r.e.cfg.Clock.Now()
	v := r.e.cfg.Views
	if args.Hold.For > 0 {
		v.Hold(args.Hold.Service, now.Add(min(args.Hold.For, holdFor)))
		return nil
	}
	v.Hold(args.Hold.Service, time.Time{})
	if args.Fence != 0 {
		r.e.fence.note(args.Lead.Service, args.Fence, args.Lead.Term)
	}
	r.e.done.Go(func() { r.e.refreshFence(refreshDelay) })
	if args.Old != args.Lead.Target {
		v.Denied(args.Hold.Service, args.Old, now)
	}
	v.Proven(args.Lead.Service, views.Lead{
		Target: args.Lead.Target, Position: args.Lead.Position, Term: args.Lead.Term, At: now.Add(-args.Lead.Age - announceDelay),
	})
	return nil
}
