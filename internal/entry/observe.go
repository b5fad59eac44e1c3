package entry

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/views"
)

// observe records in the views what a reply reports about the target. Ages
// count from the time the request was sent, which precedes the home's own
// query.
func (o *operation) observe(req *home.Request, sentAt time.Time) {
	v, r := o.s.e.cfg.Views, &o.reply
	if r.LeadProven {
		v.RecordProof(req.Service, views.PrimaryProof{Target: req.Target, Position: r.Lead, At: sentAt})
	}
	if r.Answer.Code == siskin.ReadOnly {
		v.RecordDenial(req.Service, req.Target, sentAt)
	}
	if r.Outcome == home.Answered {
		v.RecordPosition(req.Target, r.Answer.Position, sentAt)
	}
	switch {
	case req.Proof != home.FloorProof:
	case r.Answer.Code == siskin.Lagging:
		v.RecordLag(req.Target, o.s.e.cfg.Clock.Now())
	case r.Outcome == home.Answered && r.Answer.Code == siskin.Succeeded:
		v.ClearLag(req.Target)
	}
	switch r.Cause {
	case home.Unreachable, home.Silent:
		v.RecordFailure(req.Target, o.s.e.cfg.Clock.Now())
	case home.NoCause:
		v.RecordSuccess(req.Target)
		v.RecordLoad(req.Target, r.Load, o.s.e.cfg.Clock.Now())
	}
}
