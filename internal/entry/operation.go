package entry

import (
	"context"
	"fmt"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
)

const (
	// maxAttempts is the maximum number of attempts at one statement.
	maxAttempts = 3
	// budgetFactor is the number of latency objectives after which a read is
	// given up. Callers of the known services wait five to six objectives.
	budgetFactor = 3
	// waitDivisor divides the latency objective to give the time that a
	// statement waits for a primary to become known, or for a connection,
	// before it is refused. The users count a refusal after a quarter of the
	// objective as late.
	waitDivisor = 5
	// floorMargin is subtracted from the maximum staleness, for the time
	// between the first byte from the caller and the check at the home.
	floorMargin = 100 * time.Millisecond
	// minAttemptTime is the least time left for which another attempt is made.
	minAttemptTime = 60 * time.Millisecond
)

// operation is the execution of one statement that needs a target.
type operation struct {
	s        *Session
	st       *siskin.Statement
	route    *siskin.RouteSpec
	customer siskin.CustomerID
	start    time.Time
	// timed is set if all steps share one time budget and an operation that
	// cannot succeed is refused at once.
	timed    bool
	attempts int
	sent     bool // a target may have run the statement
	lost     bool // the answer to an attempt was lost
	excluded []siskin.TargetID
	failedAt []siskin.TargetID // targets that answered Failed
	reply    home.Reply        // of the last attempt
	target   siskin.TargetID
	reason   string // why the last attempt did not succeed
}

// runOperation executes a statement that needs a target.
func (s *Session) runOperation(st *siskin.Statement) (*siskin.Answer, error) {
	o := &operation{s: s, st: st, start: s.e.cfg.Clock.Now(), timed: s.e.cfg.Table.Snapshot().Prioritized}
	var refusal *siskin.Answer
	if o.route, o.customer, refusal = s.authorize(); refusal != nil {
		if s.tx != nil {
			s.rollback()
		}
		s.e.recordOperation(o, refusal)
		return refusal, errSessionEnded
	}
	a := o.execute()
	if a.Code == siskin.Succeeded && a.Signature == "" {
		a = o.refuseUnsigned()
	}
	s.e.recordOperation(o, a)
	return a, nil
}

func (o *operation) execute() *siskin.Answer {
	s := o.s
	if s.tx != nil && o.st.MayWrite() {
		s.e.writeHints.record(o.route.Name, s.e.cfg.Clock.Now())
	}
	if s.tx != nil && s.tx.begun {
		if s.tx.begunReadOnly && o.st.MayWrite() {
			return o.abortReadOnlyTransaction()
		}
		return o.continueTransaction()
	}
	if _, ok := s.e.admit(o.st.Kind, s.tx != nil, o.route.Timeout); !ok {
		o.reason = "Stopping"
		return o.refuseNotRun(siskin.Busy, "this VM is stopping", 0)
	}
	asked := s.e.cfg.Clock.Now()
	adm := o.admitWithinRate()
	s.e.cfg.Metrics.recordAdmission(o.route.Class, adm.Admitted, s.e.cfg.Clock.Since(asked))
	if !adm.Admitted {
		o.reason = "RateExceeded"
		return o.refuseNotRun(siskin.Busy, "the customer's rate is used up", adm.RetryAfter)
	}
	var a *siskin.Answer
	if o.needsPrimary() {
		a = o.runAtPrimary()
	} else {
		a = o.runAtReplica()
	}
	if !o.sent {
		s.e.cfg.Limiter.Refund(o.customer, 1)
	}
	return a
}

// needsPrimary reports whether only the primary may run the operation.
func (o *operation) needsPrimary() bool {
	if o.route.Kind == siskin.PrimaryReads || o.st.MayWrite() {
		return true
	}
	tx := o.s.tx
	return tx != nil && !tx.readOnly && o.s.e.writeHints.expectsWrite(o.route, o.s.e.cfg.Clock.Now())
}

// refuseNotRun refuses the operation and states that it had no effect.
func (o *operation) refuseNotRun(code siskin.AnswerCode, why string, after time.Duration) *siskin.Answer {
	message := why + "; not run"
	if o.timed && o.lost {
		message = why + "; without effect" // only reads are tried again, and a target may have run one
	}
	if after > 0 {
		message = fmt.Sprintf("%s, retry after %d ms", message, after.Milliseconds())
	}
	if o.s.tx != nil && o.st.Kind == siskin.Commit {
		o.s.tx = nil
		return &siskin.Answer{Code: code, Message: message}
	}
	return o.s.fail(code, message)
}

// budget returns the total time allowed for the operation.
func (o *operation) budget() time.Duration {
	return min(o.route.Timeout, budgetFactor*o.route.LatencyObjective)
}

func (o *operation) remaining() time.Duration {
	return o.budget() - o.s.e.cfg.Clock.Since(o.start)
}

// request returns a request with the fields that all attempts have in common.
func (o *operation) request(patience time.Duration) *home.Request {
	req := &home.Request{
		Statement: *o.st, Service: o.route.Service, Customer: o.customer, Class: o.route.Class, Values: o.s.values,
		Timeout: patience, QueueTimeout: patience, AcquireTimeout: o.route.LatencyObjective / waitDivisor, TxIdleTimeout: o.s.e.cfg.Table.Snapshot().TxIdleTimeout + txIdleMargin,
	}
	if o.st.Kind == siskin.Execute {
		req.Prepared = o.s.prepared[o.st.Name]
	}
	if o.s.tx != nil && !o.s.tx.begun {
		req.Mode = home.Open
	}
	return req
}

// txIdleMargin is added to the idle timeout of transactions, so that a home
// does not end a transaction whose next statement is in transit.
const txIdleMargin = 500 * time.Millisecond

// run sends one request and records its reply.
func (o *operation) run(req *home.Request) home.Reply {
	o.attempts++
	o.target = req.Target
	e := o.s.e
	// The statement was admitted; the limit on its time has its answer arrive
	// before a planned stop ends.
	req.Timeout, _ = e.admit(o.st.Kind, o.s.tx != nil, req.Timeout)
	req.QueueTimeout = min(req.QueueTimeout, req.Timeout)
	ctx, cancel := context.WithTimeout(context.Background(), req.Timeout+replyMargin)
	defer cancel()
	sentAt := e.cfg.Clock.Now()
	if o.timed {
		e.reach.recordAttempt(req.Target, sentAt)
	}
	e.statementStarted(req.Target)
	o.reply = e.cfg.Homes.Run(ctx, req)
	e.statementEnded(req.Target)
	// A home that sent a read and got no answer reports it as not sent, so that
	// it is tried again.
	o.lost = o.lost || o.reply.AnswerMissing()
	o.sent = o.sent || o.lost || o.reply.Outcome == home.Answered
	o.observe(req, sentAt)
	if o.timed {
		o.recordReply(req.Target)
	}
	o.observeSpeed(req, sentAt)
	return o.reply
}

// replyMargin is the time allowed for the reply of a home after the timeout of
// the request.
const replyMargin = 30 * time.Millisecond

// finishAttempt records the transaction that a reply has begun, and returns
// the answer. withFloor is set if the request had a minimum position, so that
// the transaction was begun read-only.
func (o *operation) finishAttempt(reply *home.Reply, withFloor bool) *siskin.Answer {
	a := reply.Answer
	s := o.s
	forgotten := a.Code == siskin.NoStatement && o.st.Kind == siskin.Execute
	if s.tx == nil {
		if forgotten {
			return o.refuseForgotten()
		}
		a.State = siskin.TxIdle
		return &a
	}
	if o.st.Kind == siskin.Commit {
		s.tx = nil
		a.State = siskin.TxIdle
		return &a
	}
	s.tx.begun, s.tx.target, s.tx.home, s.tx.id = true, o.target, reply.Home, reply.Tx
	s.tx.wrote = o.st.MayWrite()
	s.tx.begunReadOnly = withFloor && !s.tx.readOnly
	if forgotten {
		return o.refuseForgotten()
	}
	s.tx.failed = a.Code != siskin.Succeeded
	a.State = s.state()
	return &a
}

// raiseFloor raises the minimum position of the session's reads after a
// commit.
func (s *Session) raiseFloor(p siskin.Position) {
	if p.Compare(s.floor) > 0 {
		s.floor = p
	}
}
