package home

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/speed"
)

// reapInterval is the time between two scans for idle transactions.
const reapInterval = 500 * time.Millisecond

// tx is an open transaction. It owns its connection exclusively.
type tx struct {
	connPool *pool
	c        *conn
	req      Request // the request that opened it

	// wrote and changedValues are accessed only by the caller that set busy.
	wrote         bool // a write in it succeeded
	changedValues bool // values were set in it

	mu     sync.Mutex
	busy   bool
	done   bool
	usedAt time.Time
}

// acquire marks the transaction as busy. The result is false when it has ended
// or is busy already.
func (t *tx) acquire() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy || t.done {
		return false
	}
	t.busy = true
	return true
}

func (t *tx) release(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy, t.usedAt = false, now
}

// continueTx runs a further statement of an open transaction.
func (h *Homes) continueTx(ctx context.Context, req *Request) Reply {
	t, ok := h.txs.Get(req.Tx)
	if !ok || !t.acquire() {
		return Reply{Cause: Unknown}
	}
	start := h.cfg.Clock.Now()
	if req.Statement.Kind != siskin.Rollback {
		grant, err := t.connPool.queue.AcquireOpen(ctx, req.Customer, 1, start.Add(req.QueueTimeout))
		if err != nil {
			h.abandon(req.Tx, t)
			return Reply{Cause: Overload, Waited: h.cfg.Clock.Since(start)}
		}
		defer grant.Release()
		if ok, after := h.awaitAdmission(t.connPool, t.c.openedAt, start.Add(req.QueueTimeout)); !ok {
			h.abandon(req.Tx, t)
			return Reply{Cause: Overload, Waited: h.cfg.Clock.Since(start), RetryAfter: after}
		}
	}
	waited := h.cfg.Clock.Since(start)
	var setup []siskin.Statement
	if req.Statement.Kind != siskin.Commit && req.Statement.Kind != siskin.Rollback {
		setup = t.c.syncSession(req)
	}
	reply := h.exec(req.Tx, t, req, setup, time.Now().Add(req.Timeout-waited))
	reply.Waited = waited
	return reply
}

// exec runs a statement in a transaction that the caller has acquired.
func (h *Homes) exec(id TxID, t *tx, req *Request, setup []siskin.Statement, deadline time.Time) Reply {
	if h.evacuated(t.connPool.target()) {
		h.abandon(id, t)
		return Reply{Outcome: NotSent, Cause: Evacuated}
	}
	s := t.c.targetStatement(req, setup)
	commitsWrites := s.Kind == siskin.Commit && t.wrote
	if commitsWrites && !h.leaseForCommit(deadline, req.Service, t.connPool) {
		h.abandon(id, t)
		return Reply{Cause: Stalled}
	}
	asked := h.cfg.Clock.Now()
	if commitsWrites && !t.connPool.writes.start(asked) {
		h.abandon(id, t)
		return Reply{Cause: Stalled}
	}
	answers, err := t.connPool.exchange(t.c, deadline, append(setup, s), len(setup), speed.KindOf(&s, speed.OtherRead, commitsWrites))
	t.c.applied(setup, countAccepted(answers, len(setup)))
	t.changedValues = t.changedValues || changesValues(setup)
	if commitsWrites {
		t.connPool.writes.finish(err == nil, err, h.cfg.Clock.Now())
	}
	ran := h.cfg.Clock.Since(asked)
	if errors.Is(err, siskin.ErrUnsendable) {
		h.abandon(id, t)
		return Reply{Cause: Unsendable, Conn: t.c.id, Exchange: t.c.exchanges}
	}
	if errors.Is(err, errOutOfStep) {
		h.discard(id, t, outOfStep)
		return Reply{Outcome: AnswerLost, Cause: OutOfStep, Ran: ran, Conn: t.c.id, Exchange: t.c.exchanges}
	}
	if err != nil {
		h.abandon(id, t)
		reply := Reply{Outcome: AnswerLost, Cause: Unreachable, Ran: ran, Conn: t.c.id, Exchange: t.c.exchanges}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			reply.Cause = Silent
		}
		h.cfg.Views.RecordFailure(req.Target, h.cfg.Clock.Now())
		t.connPool.recordFailure()
		t.connPool.dropIdle(suspect)
		return reply
	}
	if commitsWrites && answers[len(setup)].Code != siskin.Succeeded {
		if err := t.c.settle(time.Now().Add(pingTimeout)); err != nil {
			h.discard(id, t, outOfStep)
			return Reply{Outcome: AnswerLost, Cause: OutOfStep, Ran: ran, Conn: t.c.id, Exchange: t.c.exchanges}
		}
	}
	a := answers[len(setup)]
	reply := Reply{Outcome: Answered, Answer: a, Ran: ran, Tx: id, Conn: t.c.id, Exchange: t.c.exchanges}
	for i := range setup {
		if answers[i].Code != siskin.Succeeded {
			h.abandon(id, t)
			return Reply{Outcome: AnswerLost, Cause: Refused, Answer: answers[i], Ran: ran}
		}
	}
	h.cfg.Views.RecordPosition(req.Target, a.Position, asked)
	switch a.Code {
	case siskin.ReadOnly:
		h.cfg.Views.RecordDenial(req.Service, req.Target, asked)
	case siskin.NoStatement:
		t.c.prepared.forget()
	}
	if a.Code == siskin.Succeeded {
		switch {
		case s.MayWrite():
			t.wrote = true
		case commitsWrites && !h.confirmCommit(req.Service, t.connPool, a.Position, asked, deadline).durable:
			reply.Outcome, reply.Cause, reply.Answer = AnswerLost, Unconfirmed, siskin.Answer{}
		}
	}
	if s.Kind == siskin.Commit || s.Kind == siskin.Rollback {
		// A target may revert values together with their transaction.
		t.c.uncertain = t.changedValues && (s.Kind == siskin.Rollback || a.Code != siskin.Succeeded)
		h.end(id, t, a.State == siskin.TxIdle)
		reply.Tx = 0
		return reply
	}
	t.release(h.cfg.Clock.Now())
	return reply
}

// end removes a transaction and returns its connection to the pool, or closes
// it if it is not reusable.
func (h *Homes) end(id TxID, t *tx, reusable bool) {
	if !reusable {
		h.discard(id, t, abandoned)
	} else if h.remove(id, t) {
		t.connPool.put(t.c)
	}
}

// discard removes a transaction and closes its connection.
func (h *Homes) discard(id TxID, t *tx, reason closeReason) {
	if h.remove(id, t) {
		t.connPool.drop(t.c, reason)
	}
}

// remove removes a transaction. The result is false if it had ended already.
func (h *Homes) remove(id TxID, t *tx) bool {
	t.mu.Lock()
	done := t.done
	t.done = true
	t.mu.Unlock()
	h.txs.Delete(id)
	return !done
}

// abandon rolls a transaction back by closing its connection.
func (h *Homes) abandon(id TxID, t *tx) { h.discard(id, t, abandoned) }

// reap rolls back transactions that were idle for too long, such as those of an
// entry VM that crashed.
func (h *Homes) reap() {
	for {
		select {
		case <-h.stop:
			return
		case <-time.After(reapInterval):
		}
		now := h.cfg.Clock.Now()
		h.txs.Range(func(id TxID, t *tx) bool {
			t.mu.Lock()
			idle := !t.busy && t.req.TxIdleTimeout > 0 && now.Sub(t.usedAt) > t.req.TxIdleTimeout
			t.mu.Unlock()
			if idle {
				h.abandon(id, t)
			}
			return true
		})
	}
}
