package elect

import (
	"context"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/crew"
	"siskintray.example/siskin/internal/views"
)

// Announcement notifies peers of a change of primary. A network partition may
// delay it for seconds, and its receiver cannot tell for how long. It therefore
// carries no proof that a target is primary; the receiver asks the sender for
// one, whose age counts from that query.
type Announcement struct {
	// From is the VM that changes the primary, and Old the previous primary.
	From siskin.VMID
	Old  siskin.TargetID
	Hold crew.ChangeNotice
	// Fence is the fencing token and Term the term of the promotion. Both are
	// zero if the platform checks fencing tokens.
	Fence siskin.FencingToken `json:",omitempty"`
	Term  siskin.Term         `json:",omitempty"`
}

// LeadArgs are the arguments of Receiver.Lead.
type LeadArgs struct{ Service siskin.ServiceName }

// fetchProof asks the sender of an announcement which target is primary. If the
// call fails, this VM learns of the change with the next ping.
func (e *Elector) fetchProof(a *Announcement) {
	ctx, cancel := context.WithTimeout(e.ctx, announceTimeout)
	defer cancel()
	asked := e.cfg.Clock.Now()
	name := a.Hold.Service
	var l crew.AgedProof
	err := e.cfg.Peers.Call(ctx, a.From, "Elect.Lead", &LeadArgs{Service: name}, &l)
	e.cfg.Views.EndChange(name, a.Old)
	if err != nil || l.Target == "" {
		return
	}
	at := asked.Add(-l.Age)
	if a.Old != l.Target {
		e.cfg.Views.RecordDenial(name, a.Old, at)
	}
	e.cfg.Views.RecordProof(name, views.PrimaryProof{Target: l.Target, Position: l.Position, Term: l.Term, At: at})
}
