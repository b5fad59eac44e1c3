package entry

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
)

// retryUnderChange is the time to come back after a refusal for lack of a
// primary. A promotion takes about a second.
const retryUnderChange = 500 * time.Millisecond

// retryOverload is the least time to come back after a refusal for lack of
// capacity, a few statements' time at a target.
const retryOverload = 50 * time.Millisecond

// atPrimary runs the operation at the primary of its service.
func (o *operation) atPrimary() *siskin.Answer {
	for o.attempts < maxAttempts {
		target := o.primary()
		if target == "" || o.silent(target) {
			o.reason = "NoPrimary"
			return o.notRun(siskin.Busy, "the service has no primary at the moment", retryUnderChange)
		}
		req := o.request(o.route.Timeout)
		req.Target = target
		// Time in the queue is bounded by what the caller can still use.
		req.QueueTimeout = o.budget() * 3 / 4
		if !o.st.MayWrite() || o.s.tx != nil {
			req.Proof = home.LeadProof
		}
		reply := o.run(req)
		switch reply.Outcome {
		case home.Answered:
			if a, again := o.settled(&reply); !again {
				return a
			}
		case home.InDoubt:
			if o.s.tx == nil && o.st.MayWrite() {
				o.reason = reply.Cause.String()
				return o.s.refuse(siskin.InDoubt, "the answer to the write is missing; check whether it took effect")
			}
			// Nothing of a transaction that was not committed is kept, and a
			// read changes nothing.
			o.reason = reply.Cause.String()
		case home.NotSent:
			if a := o.refused(&reply); a != nil {
				return a
			}
		}
		if o.remaining() < minAttempt {
			break
		}
	}
	return o.notRun(siskin.Busy, "the primary did not answer ("+o.reason+")", retryUnderChange)
}

const (
	// silentFailures is the number of failures in a row after which a primary is
	// held to be out of reach, and silentPause the time after the last one in
	// which nothing is sent to it. A statement that waits for it takes up to its
	// time-out, and is refused all the same. The watch over the primary asks it
	// each 200 ms.
	silentFailures = 3
	silentPause    = 200 * time.Millisecond
)

// silent reports whether a target has just failed again and again.
func (o *operation) silent(id siskin.TargetID) bool {
	t := o.s.e.cfg.Views.Target(id)
	return o.attempts == 0 && t.Failures >= silentFailures && o.s.e.cfg.Clock.Since(t.FailedAt) < silentPause
}

// settled returns the answer of a target, or says to try again because the
// target did not run the statement.
func (o *operation) settled(reply *home.Reply) (a *siskin.Answer, again bool) {
	switch reply.Answer.Code {
	case siskin.ReadOnly, siskin.NoStatement:
		if o.s.tx == nil && o.attempts < maxAttempts && o.remaining() > minAttempt {
			o.reason = reply.Answer.Code.String()
			return nil, true
		}
	case siskin.Succeeded:
		if reply.LeadProven {
			// The primary has every commit that counts, so a floor from a
			// branch that a promotion rolled back ends here.
			o.s.floor = reply.Lead
		}
		if o.st.MayWrite() && o.s.tx == nil {
			o.s.raise(reply.Answer.Position)
		}
	}
	return o.opened(reply, false), false
}

// refused handles a statement that was not sent. It returns nil when another
// attempt makes sense.
func (o *operation) refused(reply *home.Reply) *siskin.Answer {
	o.reason = reply.Cause.String()
	switch reply.Cause {
	case home.Overload, home.NoConnection:
		return o.notRun(siskin.Busy, "too many statements wait for the primary", max(reply.RetryAfter, retryOverload))
	case home.Stalled:
		return o.notRun(siskin.Busy, "the primary acknowledges no writes at the moment", retryUnderChange)
	case home.Evacuated:
		return o.notRun(siskin.Busy, "the data centre of the primary is evacuated", retryUnderChange)
	case home.Refused:
		o.reason = reply.Answer.Code.String()
		switch reply.Answer.Code {
		case siskin.ReadOnly, siskin.NoStatement:
			return nil
		}
		return o.notRun(siskin.Busy, "the target refused the transaction ("+o.reason+")", retryOverload)
	}
	return nil
}

// primary returns the primary, waiting a little when none is known.
func (o *operation) primary() siskin.TargetID {
	e := o.s.e
	name := o.route.Service
	deadline := o.route.LatencyObjective / waitDivisor
	for {
		leadChanged, rosterChanged := e.cfg.Views.PrimaryChanged(name), e.cfg.Roster.Changed()
		if !e.cfg.Views.ChangeInProgress(name, e.cfg.Clock.Now()) {
			if id := e.cfg.Views.Primary(name, e.cfg.Roster.Service(name)); id != "" && !e.cfg.Roster.Leaving(id, e.cfg.Clock.Now()) {
				return id
			}
		}
		left := deadline - e.cfg.Clock.Since(o.start)
		if left <= 0 {
			return ""
		}
		select {
		case <-leadChanged:
		case <-rosterChanged:
		case <-e.cfg.Clock.After(left):
		}
	}
}
