package elect

import (
	"context"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/crew"
	"siskintray.example/siskin/internal/views"
)

// Announcement tells of a change of primary. A cut may hold it back for seconds,
// and its receiver cannot tell for how long. It therefore carries no proof of
// lead; the receiver asks the sender for one, whose age counts from that question.
type Announcement struct {
	// From is the VM that changes the primary, and Old the target that led before.
	From siskin.VMID
	Old  siskin.TargetID
	Hold crew.HoldNote
	// Fence and Term are those of the promotion, zero where the platform checks
	// fences.
	Fence siskin.FencingToken `json:",omitempty"`
	Term  siskin.Term         `json:",omitempty"`
}

// LeadArgs asks for the newest proof of lead of a service.
type LeadArgs struct{ Service siskin.ServiceName }

// fetchLead asks the sender of an announcement which target leads. Without an answer
// this VM learns of the change with the next ping.
func (e *Elector) fetchLead(a *Announcement) {
	ctx, cancel := context.WithTimeout(e.ctx, announceTimeout)
	defer cancel()
	asked := e.cfg.Clock.Now()
	name := a.Hold.Service
	var l crew.LeadNote
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
