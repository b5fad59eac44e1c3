package home

import (
	"context"
	"errors"
	"os"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/fairq"
)

// probeAfterIdle is the idle time after which a connection is probed before a
// write is sent on it. On a connection that the target has closed meanwhile,
// the outcome of the write would be unknown.
const probeAfterIdle = 200 * time.Millisecond

// run is the execution of one statement outside of an open transaction.
type run struct {
	h        *Homes
	connPool *pool
	req      *Request
	start    time.Time // according to the clock of h
	deadline time.Time // network deadline, in wall-clock time
	c        *conn
	grant    fairq.Grant
	reply    Reply
	replaced bool // the connection has been replaced once
	// confirmedAt is the time of the confirmation that the target is the
	// primary, or zero when none was needed.
	confirmedAt time.Time
	proof       leadProof
}

// do queues the statement, takes a connection and runs the statement.
func (r *run) do(ctx context.Context) Reply {
	if r.req.Mode == Single && r.req.Statement.MayWrite() && (r.connPool.writes.wouldRefuse(r.start) || !r.h.leaseForCommit(r.deadline, r.req.Service, r.connPool)) {
		// The lease is checked before a write occupies a slot and a connection.
		r.reply.Cause = Stalled
		return r.reply
	}
	if !r.acquire(ctx) {
		return r.reply
	}
	defer r.grant.Release()
	for {
		again := r.attempt()
		if !again || r.replaced {
			return r.reply
		}
		r.replaced = true
		if !r.connect(ctx) {
			return r.reply
		}
	}
}

// acquire waits for a slot at the target and a connection.
func (r *run) acquire(ctx context.Context) bool {
	queueCtx, cancel := context.WithTimeout(ctx, r.req.QueueTimeout)
	defer cancel()
	var err error
	r.grant, err = r.connPool.queue.AcquireClass(queueCtx, r.req.Customer, 1, r.req.Class.Valid(), r.start.Add(r.req.QueueTimeout))
	r.reply.Waited = r.h.cfg.Clock.Since(r.start)
	r.h.cfg.Metrics.recordQueue(r.req.Class.Valid(), r.reply.Waited, err)
	if err != nil {
		r.setOverload(err)
		return false
	}
	if !r.connect(queueCtx) {
		r.grant.Release()
		return false
	}
	return true
}

func (r *run) setOverload(err error) {
	r.reply.Cause = Overload
	var e *siskin.Error
	if errors.As(err, &e) {
		r.reply.RetryAfter = e.RetryAfter
	}
}

func (r *run) connect(ctx context.Context) bool {
	c, err := r.connPool.conn(ctx, r.req.Customer, r.req.Class.Valid(), r.req.waitFor())
	if err == nil {
		r.c, r.reply.Conn = c, c.id
		return true
	}
	switch siskin.KindOf(err) {
	case siskin.Overloaded:
		r.setOverload(err)
		r.reply.Cause = NoConnection
	case siskin.NotRun:
		r.reply.Cause = Unknown
	default:
		r.reply.Cause = Unreachable
		r.h.cfg.Views.RecordFailure(r.req.Target, r.h.cfg.Clock.Now())
	}
	return false
}

// attempt runs the statement on r.c. The result reports whether to try again on
// another connection because the statement was not run on this one.
func (r *run) attempt() (again bool) {
	if r.floorExpired() {
		r.reply.Cause = Stale
		r.connPool.put(r.c)
		return false
	}
	if r.h.evacuated(r.req.Target) {
		r.reply.Outcome, r.reply.Cause = NotSent, Evacuated
		r.connPool.putUnused(r.c)
		return false
	}
	if ok, after := r.h.awaitAdmission(r.connPool, r.c.openedAt, r.h.cfg.Clock.Now().Add(r.req.waitFor())); !ok {
		r.reply.Outcome, r.reply.Cause, r.reply.RetryAfter = NotSent, Overload, after
		r.connPool.putUnused(r.c)
		return false
	}
	reused := !r.c.unused
	idle := r.h.cfg.Clock.Since(r.c.usedAt)
	begin, needed := r.begin(reused && idle > probeAfterIdle)
	// The session state is applied after this check, since the connection is
	// returned without it when the primary is not confirmed.
	if needed && !r.confirm() {
		return false
	}
	setup := r.c.syncSession(r.req)
	r.c.unused = false
	if needed {
		if ok, broken := r.prove(setup, begin); !ok {
			return broken && reused
		}
		setup = nil
		if r.req.Mode == Open {
			return r.startTx()
		}
		if r.req.Proof != LeadProof {
			return r.send(nil, false)
		}
		return r.send(nil, true)
	}
	if len(setup) > 0 && (r.req.Statement.MayWrite() || changesValues(setup)) {
		// A statement pipelined after a value that the target refuses would run
		// without it.
		if ok, broken := r.prove(setup, nil); !ok {
			return broken && reused || r.reply.Cause == Refused && !r.req.Statement.MayWrite()
		}
		setup = nil
	}
	return r.send(setup, false) && reused
}

// send sends the caller's statement after setup, and ends the transaction that
// proved leadership.
func (r *run) send(setup []siskin.Statement, inTx bool) (again bool) {
	s := r.c.targetStatement(r.req, setup)
	if r.req.Proof == FloorProof {
		s.Floor = r.req.Floor
	}
	list := append(setup, s)
	if inTx {
		list = append(list, siskin.Statement{Kind: siskin.Rollback})
	}
	if r.h.evacuated(r.req.Target) {
		// Closing the connection ends the transaction that proved leadership.
		r.reply.Outcome, r.reply.Cause = NotSent, Evacuated
		r.connPool.drop(r.c, abandoned)
		return false
	}
	if s.MayWrite() && !r.h.leaseForCommit(r.deadline, r.req.Service, r.connPool) {
		r.reply.Outcome, r.reply.Cause = NotSent, Stalled
		r.connPool.put(r.c)
		return false
	}
	asked := r.h.cfg.Clock.Now()
	if s.MayWrite() && !r.connPool.writes.start(asked) {
		r.reply.Outcome, r.reply.Cause = NotSent, Stalled
		r.connPool.put(r.c)
		return false
	}
	answers, err := r.connPool.exchange(r.c, r.deadline, list, len(setup), r.req.speedKind(&s, false))
	r.c.applied(setup, countAccepted(answers, len(setup)))
	if s.MayWrite() {
		r.connPool.writes.finish(len(answers) > len(setup), err, r.h.cfg.Clock.Now())
	}
	r.reply.Ran, r.reply.Exchange = r.h.cfg.Clock.Since(asked), r.c.exchanges
	if r.unsendable(err) {
		return false
	}
	if err != nil && len(answers) <= len(setup) {
		if r.connFailed(err); !s.MayWrite() {
			r.reply.MayHaveRun = true
			// Reads have no side effects, so they are retried once on another
			// connection.
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
		r.reply.Outcome = AnswerLost
		return false
	}
	for i := range setup {
		if answers[i].Code != siskin.Succeeded {
			// Only reads are pipelined after a PREPARE, and without it they do
			// not run.
			r.reply.Outcome, r.reply.Cause, r.reply.Answer = NotSent, Refused, answers[i]
			r.connPool.drop(r.c, refused)
			return true
		}
	}
	if answers[len(setup)].Code != siskin.Succeeded && s.MayWrite() {
		if serr := r.c.settle(r.proofDeadline()); serr != nil {
			r.reply.Outcome, r.reply.Cause = AnswerLost, OutOfStep
			r.connPool.drop(r.c, outOfStep)
			return false
		}
	}
	a := answers[len(setup)]
	r.reply.Outcome, r.reply.Cause, r.reply.Answer = Answered, NoCause, a
	if inTx && a.Code == siskin.Succeeded {
		r.recordLeadProof()
	}
	r.recordAnswer(&s, &a, asked)
	if err != nil || answers[len(answers)-1].State != siskin.TxIdle || a.Code == siskin.NoStatement {
		r.connPool.drop(r.c, broken)
		return false
	}
	r.connPool.put(r.c)
	return false
}
