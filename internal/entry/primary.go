package entry

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
)

// noPrimaryRetryAfter is the retry delay in a refusal for lack of a primary. A
// promotion takes about a second.
const noPrimaryRetryAfter = 500 * time.Millisecond

// minOverloadRetryAfter is the least retry delay in a refusal for lack of
// capacity: the time of a few statements at a target.
const minOverloadRetryAfter = 50 * time.Millisecond

// runAtPrimary runs the operation at the primary of its service.
func (o *operation) runAtPrimary() *siskin.Answer {
	for o.attempts < maxAttempts && !o.timeUp() {
		target := o.awaitPrimary()
		if target == "" || !o.timed && o.unresponsive(target) {
			return o.refuseAtOnce(noPrimary, "")
		}
		if a := o.refuseInfeasible(target); a != nil {
			return a
		}
		req := o.request(o.attemptTime())
		req.Target = target
		req.QueueTimeout = o.queueTime()
		if !o.st.MayWrite() || o.s.tx != nil {
			req.Proof = home.LeadProof
		}
		reply := o.run(req)
		switch reply.Outcome {
		case home.Answered:
			if a, retry := o.handleAnswer(&reply); !retry {
				return a
			}
		case home.AnswerLost:
			if o.s.tx == nil && o.st.MayWrite() {
				o.reason = reply.Cause.String()
				return o.s.refuse(siskin.InDoubt, "the answer to the write is missing; check whether it took effect")
			}
			// A transaction that was not committed leaves no effect, and
			// neither does a read.
			o.reason = reply.Cause.String()
		case home.NotSent:
			if a := o.handleNotSent(&reply); a != nil {
				return a
			}
		}
		if o.remaining() < minAttemptTime {
			break
		}
	}
	return o.refuseNotRun(siskin.Busy, "the primary did not answer ("+o.reason+")", o.returnToPrimary())
}

const (
	// unresponsiveFailures is the number of consecutive failures after which a
	// primary counts as unresponsive, and unresponsivePause the time after the
	// last one in which nothing is sent to it. A statement sent to it would
	// wait for its timeout and be refused anyway. The primary's watcher probes
	// it every 200 ms.
	unresponsiveFailures = 3
	unresponsivePause    = 200 * time.Millisecond
)

// unresponsive reports whether the last attempts at a target have all failed
// and the latest failure is recent. It applies only to the first attempt of an
// operation.
func (o *operation) unresponsive(id siskin.TargetID) bool {
	t := o.s.e.cfg.Views.Target(id)
	return o.attempts == 0 && t.Failures >= unresponsiveFailures && o.s.e.cfg.Clock.Since(t.FailedAt) < unresponsivePause
}

// handleAnswer returns the answer of a target, or sets retry if the target did
// not run the statement.
func (o *operation) handleAnswer(reply *home.Reply) (a *siskin.Answer, retry bool) {
	switch reply.Answer.Code {
	case siskin.ReadOnly, siskin.NoStatement:
		if o.s.tx == nil && o.attempts < maxAttempts && o.remaining() > minAttemptTime {
			o.reason = reply.Answer.Code.String()
			return nil, true
		}
	case siskin.Succeeded:
		if reply.LeadProven {
			// The primary has every valid commit, so its position replaces a
			// floor that belongs to a branch which a promotion rolled back.
			o.s.floor = reply.Lead
		}
		if o.st.MayWrite() && o.s.tx == nil {
			o.s.raiseFloor(reply.Answer.Position)
		}
	}
	return o.finishAttempt(reply, false), false
}

// handleNotSent returns the answer to a statement that was not sent, or nil if
// another attempt can succeed.
func (o *operation) handleNotSent(reply *home.Reply) *siskin.Answer {
	o.reason = reply.Cause.String()
	switch reply.Cause {
	case home.Overload, home.NoConnection:
		return o.refuseNotRun(siskin.Busy, "too many statements wait for the primary", o.returnToQueue(reply))
	case home.Stalled:
		return o.refuseNotRun(siskin.Busy, "the primary acknowledges no writes at the moment", o.returnToPrimary())
	case home.Unsendable:
		return o.refuseNotRun(siskin.Malformed, "the statement does not fit into a message to the target", 0)
	case home.Evacuated:
		return o.refuseNotRun(siskin.Busy, "the data centre of the primary is evacuated", o.returnToPrimary())
	case home.Refused:
		o.reason = reply.Answer.Code.String()
		switch reply.Answer.Code {
		case siskin.ReadOnly, siskin.NoStatement:
			return nil
		}
		return o.refuseNotRun(siskin.Busy, "the target refused the transaction ("+o.reason+")", o.returnToQueue(reply))
	}
	return nil
}

// awaitPrimary returns the primary of the service. If none is known, it waits
// for one as long as primaryPatience allows.
func (o *operation) awaitPrimary() siskin.TargetID {
	e := o.s.e
	name := o.route.Service
	began := e.cfg.Clock.Now()
	for waiting := false; ; waiting = true {
		leadChanged, rosterChanged := e.cfg.Views.PrimaryChanged(name), e.cfg.Roster.Changed()
		if !e.cfg.Views.ChangeInProgress(name, e.cfg.Clock.Now()) {
			if id := e.cfg.Views.Primary(name, e.cfg.Roster.Service(name)); id != "" && !e.cfg.Roster.Leaving(id, e.cfg.Clock.Now()) {
				return id
			}
		}
		left := o.primaryPatience(began, waiting)
		if left <= 0 {
			return ""
		}
		select {
		case <-leadChanged:
		case <-rosterChanged:
		case <-e.cfg.Clock.After(o.nextCheck(left)):
		}
	}
}
