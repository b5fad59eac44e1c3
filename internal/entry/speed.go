package entry

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/speed"
)

// observeSpeed records what a reply tells about the speed of a target and
// whether the target failed the statement.
func (o *operation) observeSpeed(req *home.Request, sentAt time.Time) {
	v, r, now := o.s.e.cfg.Views, &o.reply, o.s.e.cfg.Clock.Now()
	v.RecordSpeed(req.Target, req.SpeedKind(), r.Speed, now)
	switch {
	case r.Outcome != home.Answered:
		if r.Cause == home.Unreachable || r.Cause == home.Silent {
			v.RecordOutcome(req.Target, true, now)
		}
	case r.Answer.Code == siskin.Succeeded && r.Answer.Signature != "":
		o.observeSuccess(req, sentAt, now)
	case r.Answer.Code == siskin.Failed:
		// The statement itself may be wrong. It is not if another target runs it.
		o.failedAt = append(o.failedAt, req.Target)
	case isTargetFailure(&r.Answer) && req.SpeedKind() != speed.None:
		v.RecordOutcome(req.Target, true, now)
	}
}

func (o *operation) observeSuccess(req *home.Request, sentAt, now time.Time) {
	v, r := o.s.e.cfg.Views, &o.reply
	v.RecordOutcome(req.Target, false, now)
	for _, id := range o.failedAt {
		if id != req.Target {
			v.RecordOutcome(id, true, now)
		}
	}
	o.failedAt = nil
	// The first exchange on a connection follows the time to open it, and other
	// proofs take exchanges that are not part of the time at the target.
	if req.Proof == home.FloorProof && r.Exchange > 1 {
		v.RecordDistance(req.Target, now.Sub(sentAt)-r.Waited-r.Ran, now)
	}
}

// isTargetFailure reports whether an answer is due to the target and not to the
// statement. A lag has a bias of its own. Successes without a signature are not
// passed on.
func isTargetFailure(a *siskin.Answer) bool {
	switch a.Code {
	case siskin.Busy, siskin.TooMany, siskin.Misdirected, siskin.TimedOut:
		return true
	case siskin.Succeeded:
		return a.Signature == ""
	}
	return false
}
