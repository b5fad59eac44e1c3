package entry

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
)

// transaction is the open transaction of a session. The target begins it with
// its first statement.
type transaction struct {
	readOnly bool
	// begun is set once a target has begun the transaction.
	begun  bool
	failed bool
	wrote  bool
	// begunReadOnly is set for a transaction that the caller did not declare
	// read-only but that was begun read-only at a target.
	begunReadOnly bool
	target        siskin.TargetID
	home          siskin.VMID
	id            home.TxID
}

// rollbackTimeout bounds a rollback whose answer no caller waits for.
const rollbackTimeout = 500 * time.Millisecond

// rollback rolls back the transaction and ignores the result.
func (s *Session) rollback() {
	tx := s.tx
	s.tx = nil
	if !tx.begun {
		return
	}
	req := &home.Request{
		Statement: siskin.Statement{Kind: siskin.Rollback}, Target: tx.target, Home: tx.home, Mode: home.Continue, Tx: tx.id,
		Timeout: rollbackTimeout, QueueTimeout: rollbackTimeout,
	}
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	// If the rollback is lost, the home ends the transaction once it has been
	// idle for too long.
	s.e.cfg.Homes.Run(ctx, req)
}

// abortReadOnlyTransaction rolls back a transaction with begunReadOnly set,
// because its caller has sent a write.
func (o *operation) abortReadOnlyTransaction() *siskin.Answer {
	o.reason = "BeganAtReplica"
	return o.abortTransaction("the transaction was begun read-only at a replica and was rolled back; run it again")
}

// abortTransaction rolls back a transaction that a target has begun, and marks
// it as failed.
func (o *operation) abortTransaction(message string) *siskin.Answer {
	tx := *o.s.tx
	o.s.rollback()
	tx.failed, tx.begun = true, false
	o.s.tx = &tx
	return o.s.refuse(siskin.Aborted, message)
}

// refuseForgotten replaces a target's answer that it does not have a prepared
// statement. The caller's PREPARE was acknowledged, and nothing has run.
func (o *operation) refuseForgotten() *siskin.Answer {
	o.reason = siskin.NoStatement.String()
	if o.s.tx != nil {
		return o.abortTransaction("the target lost the prepared statement, and the transaction was rolled back; run it again")
	}
	return o.refuseNotRun(siskin.Busy, "the target lost the prepared statement", o.returnToQueue(&o.reply))
}

// continueTransaction runs a statement of a transaction that a target has
// begun.
func (o *operation) continueTransaction() *siskin.Answer {
	tx := o.s.tx
	if _, ok := o.s.e.admit(o.st.Kind, true, o.route.Timeout); !ok {
		return o.abortForShutdown()
	}
	req := o.request(o.route.Timeout)
	req.Target, req.Home, req.Mode, req.Tx = tx.target, tx.home, home.Continue, tx.id
	reply := o.run(req)
	commit := o.st.Kind == siskin.Commit
	if commit {
		o.s.tx = nil
	}
	switch {
	case reply.Outcome == home.Answered:
		a := reply.Answer
		if a.Code == siskin.NoStatement && o.st.Kind == siskin.Execute {
			return o.refuseForgotten()
		}
		if commit {
			a.State = siskin.TxIdle
			if a.Code == siskin.Succeeded && tx.wrote {
				o.s.raiseFloor(a.Position)
			}
			return &a
		}
		if a.Code != siskin.Succeeded {
			tx.failed = true
		} else if o.st.MayWrite() {
			tx.wrote = true
		}
		a.State = o.s.state()
		return &a
	case commit && reply.Outcome == home.AnswerLost && tx.wrote:
		return o.s.refuse(siskin.InDoubt, "the answer to the commit is missing; check whether it took effect")
	}
	// No commit was sent, or the transaction had no writes to commit.
	if !commit {
		tx.failed, tx.begun = true, false
	}
	return o.s.refuse(siskin.Aborted, "the transaction was rolled back ("+reply.Cause.String()+"); run it again")
}
