package home

import (
	"context"
	"errors"
	"os"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/views"
)

// floorExpired reports whether the floor expired while the statement waited.
func (r *run) floorExpired() bool {
	return r.req.FloorTTL > 0 && r.h.cfg.Clock.Since(r.start) > r.req.FloorTTL
}

// begin returns the statements that must succeed before the caller's statement
// is sent. Outside of a transaction, a statement pipelined after a failed one
// would still run.
func (r *run) begin(probe bool) ([]siskin.Statement, bool) {
	switch {
	case r.req.Mode == Open && r.req.Proof == FloorProof:
		return []siskin.Statement{{Kind: siskin.BeginRead, Floor: r.req.Floor}}, true
	case r.req.Mode == Open, r.req.Proof == LeadProof:
		return []siskin.Statement{{Kind: siskin.Begin}}, true
	case probe && r.req.Statement.MayWrite():
		return []siskin.Statement{{Kind: siskin.Begin}, {Kind: siskin.Rollback}}, true
	default:
		return nil, false
	}
}

// prove sends the session state and the opening statements. When it fails, the
// statement of the caller has not been sent; broken reports that the connection
// broke.
func (r *run) prove(setup, begin []siskin.Statement) (ok, broken bool) {
	for range witnessAttempts {
		strays := r.c.strays
		if ok, broken := r.proveOnce(setup, begin); !ok {
			return false, broken
		}
		// A repeated answer may stand for the refusal of a value, or of the
		// transaction, outside of which the statement would run.
		if r.c.strays == strays || len(setup) == 0 && r.req.Mode != Open {
			return true, false
		}
		if len(setup) > 0 {
			break // it is recorded as applied
		}
	}
	r.reply.Outcome, r.reply.Cause = NotSent, OutOfStep
	r.connPool.drop(r.c, outOfStep)
	return false, true
}

// proveOnce sends the session state and the opening statements once.
func (r *run) proveOnce(setup, begin []siskin.Statement) (ok, broken bool) {
	asked := r.h.cfg.Clock.Now()
	var list []siskin.Statement
	if r.c.state != siskin.TxIdle {
		list = append(list, siskin.Statement{Kind: siskin.Rollback})
	}
	before := len(list)
	if list = append(list, setup...); len(setup) > 0 || r.req.Mode == Open {
		// The answers to an earlier opening, sent again, do not fit this one.
		list = r.c.appendWitness(list, setupBits)
	}
	first := len(list)
	if r.req.Mode == Open {
		// Its answers show the refusal of a BEGIN that a repeated answer hides.
		begin = appendPreparation(begin)
	}
	answers, err := r.c.exchange(r.proofDeadline(), append(list, begin...))
	if len(answers) > before {
		r.c.applied(setup, countAccepted(answers[before:], len(setup)))
	}
	r.reply.Exchange = r.c.exchanges
	if r.unsendable(err) {
		return false, false
	}
	if err != nil {
		r.connFailed(err)
		return false, !errors.Is(err, os.ErrDeadlineExceeded)
	}
	for i := range answers {
		if a := &answers[i]; a.Code != siskin.Succeeded {
			r.reply.Outcome, r.reply.Cause, r.reply.Answer = NotSent, Refused, *a
			r.recordDenial(a, asked)
			r.connPool.drop(r.c, refused)
			return false, false
		}
	}
	if len(begin) > 0 && begin[0].Kind == siskin.Begin && !r.confirmedAt.IsZero() {
		r.proof = leadProof{position: answers[first].Position, at: r.confirmedAt, strays: r.c.strays}
	}
	return true, false
}

// leadProof is the success of a plain BEGIN. It counts once the statement in the
// transaction has succeeded with no stray answer since, because a repeated
// answer to an earlier BEGIN tells an earlier position.
type leadProof struct {
	position siskin.Position
	at       time.Time // of the question to the replicas; zero if there is none
	strays   int
}

// recordLeadProof records the proof after the success of the statement in the
// transaction.
func (r *run) recordLeadProof() {
	if p := r.proof; !p.at.IsZero() && p.strays == r.c.strays {
		r.recordProof(p.position, p.at)
	}
}

// confirm asks the replicas to confirm the primary if a read-write transaction
// alone does not prove it. When the result is false, nothing was sent.
func (r *run) confirm() bool {
	r.confirmedAt, r.proof = time.Time{}, leadProof{}
	if r.req.Proof == FloorProof {
		return true
	}
	// A write needs no proof, and the probe before it is no proof of
	// leadership.
	if r.req.Mode != Open && r.req.Proof != LeadProof && r.h.cfg.LeaseConfig != nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), r.req.Timeout)
	defer cancel()
	at, ok := r.h.confirm(ctx, r.req.Service, r.connPool)
	if !ok {
		r.reply.Outcome, r.reply.Cause = NotSent, Unconfirmed
		r.connPool.put(r.c)
		return false
	}
	r.confirmedAt = at
	return true
}

// proofDeadline returns the deadline of a proof. A proof needs no slot, so a
// timeout means that the target or the network path has failed.
func (r *run) proofDeadline() time.Time {
	d := time.Now().Add(pingTimeout)
	if r.deadline.Before(d) {
		return r.deadline
	}
	return d
}

func (r *run) recordProof(p siskin.Position, asked time.Time) {
	r.reply.LeadProven, r.reply.Lead = true, p
	r.reply.LeadAge = r.h.cfg.Clock.Since(asked)
	r.h.cfg.Views.RecordProof(r.req.Service, views.PrimaryProof{Target: r.req.Target, Position: p, Term: r.h.primaryTerm(r.req.Target), At: asked})
	r.h.cfg.Views.RecordSuccess(r.req.Target)
}

func (r *run) recordDenial(a *siskin.Answer, asked time.Time) {
	if a.Code == siskin.ReadOnly {
		r.h.cfg.Views.RecordDenial(r.req.Service, r.req.Target, asked)
	}
}
