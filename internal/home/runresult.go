package home

import (
	"errors"
	"os"
	"time"

	"siskintray.example/siskin"
)

// recordAnswer records what an answer reveals about the target.
func (r *run) recordAnswer(s *siskin.Statement, a *siskin.Answer, asked time.Time) {
	r.h.cfg.Views.RecordPosition(r.req.Target, a.Position, asked)
	switch {
	case a.Code == siskin.ReadOnly:
		r.recordDenial(a, asked)
	case a.Code == siskin.Succeeded && s.MayWrite():
		switch got := r.h.confirmCommit(r.req.Service, r.connPool, a.Position, asked, r.deadline); {
		case !got.durable:
			r.reply.Outcome, r.reply.Cause, r.reply.Answer = AnswerLost, Unconfirmed, siskin.Answer{}
		case got.provesPrimary:
			r.recordProof(a.Position, asked)
		}
	case a.Code == siskin.Succeeded:
		r.h.cfg.Views.RecordSuccess(r.req.Target)
	}
}

// unsendable reports whether the statement does not fit into a message. The
// connection is not affected.
func (r *run) unsendable(err error) bool {
	if !errors.Is(err, siskin.ErrUnsendable) {
		return false
	}
	r.reply.Outcome, r.reply.Cause = NotSent, Unsendable
	if r.c.state == siskin.TxIdle {
		r.connPool.put(r.c)
	} else {
		r.connPool.drop(r.c, abandoned)
	}
	return true
}

// connFailed records that the connection broke or timed out.
func (r *run) connFailed(err error) {
	if errors.Is(err, errOutOfStep) {
		r.reply.Outcome, r.reply.Cause = NotSent, OutOfStep
		r.connPool.drop(r.c, outOfStep)
		return
	}
	r.reply.Outcome, r.reply.Cause = NotSent, Unreachable
	if errors.Is(err, os.ErrDeadlineExceeded) {
		r.reply.Cause = Silent
	}
	r.h.cfg.Views.RecordFailure(r.req.Target, r.h.cfg.Clock.Now())
	r.connPool.recordFailure()
	r.connPool.drop(r.c, broken)
	r.connPool.dropIdle(suspect)
}

// startTx runs the first statement of a transaction that has just begun.
func (r *run) startTx() (again bool) {
	t := &tx{connPool: r.connPool, c: r.c, req: *r.req, usedAt: r.h.cfg.Clock.Now()}
	t.req.Statement.Text = "" // not kept for the length of the transaction
	t.busy = true
	id := TxID(r.h.nextTx.Add(1))
	r.h.txs.Put(id, t)
	waited := r.reply.Waited
	r.reply = r.h.exec(id, t, r.req, nil, r.deadline)
	r.reply.Waited = waited
	if r.reply.Outcome == Answered && r.reply.Answer.Code == siskin.Succeeded {
		r.recordLeadProof()
	}
	return false
}
