package relay

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/pkg/config"
)

// handleReady handles ReadyForQuery, which ends the answer to a batch.
func (l *localExecutor) handleReady(sink Sink) (Result, *Failure) {
	body, err := l.conn.R.Body(frame.BufferSize)
	if err != nil || len(body) != 1 {
		return Result{}, l.connFailed(err)
	}
	before, status := l.status, body[0]
	l.status = status
	if status != 'I' {
		return l.readyInTransaction(sink)
	}
	var f *Failure
	switch {
	case l.mustConfirm(before):
		f = l.confirm(sink)
	case l.positionQueried:
		row, _, err := l.readRow()
		if err != nil {
			f = l.connFailed(err)
		}
		// If the target was a replica at any time since the connection was
		// opened, it refuses writes and the position query on this connection
		// permanently, even after it has become the primary again.
		l.refusesWrites = row == nil
	}
	if f != nil {
		return Result{}, f
	}
	if l.hdr.SampleFloor {
		if err := sink.SendToken(l.hdr.Floor); err != nil {
			return Result{}, l.callerGone(err)
		}
	}
	if f := l.sendReady(sink); f != nil {
		return Result{}, f
	}
	return Result{Status: 'I'}, nil
}

// readyInTransaction handles the end of a batch within a transaction, where
// nothing is acknowledged yet. The answer to a first batch such as BEGIN is
// held back until the position query after it is answered. If that returns no
// position, the connection accepts no writes, and nothing ran.
func (l *localExecutor) readyInTransaction(sink Sink) (Result, *Failure) {
	if l.positionQueried && l.status == 'T' && !l.relayed && l.commands == 1 {
		l.positionQueried = false
		row, _, err := l.readRow()
		if err != nil {
			return Result{}, l.connFailed(err)
		}
		if l.refusesWrites = row == nil; l.refusesWrites {
			return Result{}, l.refusalFailure(nil)
		}
	}
	if f := l.sendReady(sink); f != nil {
		return Result{}, f
	}
	if l.positionQueried {
		if _, _, err := l.readRow(); err != nil {
			// The caller has the answer; the next batch reports the failure.
			_ = l.conn.Conn.Close()
		}
	}
	return Result{Status: l.status}, nil
}

func (l *localExecutor) sendReady(sink Sink) *Failure {
	l.confirmed = true // either confirmed or nothing to confirm
	if err := l.releaseHeld(sink); err != nil {
		return l.relayFailed(err)
	}
	if err := sink.SendMessage('Z', statusBody(l.status)); err != nil {
		return l.callerGone(err)
	}
	if err := sink.Flush(); err != nil {
		return l.callerGone(err)
	}
	return nil
}

var statusBodies = [...][]byte{{'I'}, {'T'}, {'E'}}

// statusBody returns the body of a ReadyForQuery.
func statusBody(status byte) []byte {
	for _, b := range statusBodies {
		if b[0] == status {
			return b
		}
	}
	return []byte{status}
}

// mustConfirm reports whether something may have been committed: a statement of
// the transaction completed, and the transaction did not just end with a
// rollback.
func (l *localExecutor) mustConfirm(before byte) bool {
	if l.route.Mode != config.WriteRoute || l.commands == 0 {
		return false
	}
	onlyRollback := before != 'I' && l.batchCommands == 1 && l.lastRolledBack
	return !onlyRollback
}

// confirm waits until the commit is confirmed and sends its token. The final
// CommandComplete is still held back, so nothing was acknowledged before.
func (l *localExecutor) confirm(sink Sink) *Failure {
	row, _, err := l.commitPosition()
	if err != nil {
		return l.connFailed(err)
	}
	pos, ok := parsePosition(row)
	if !ok {
		l.refusesWrites = true
		l.recycleConn()
		l.releaseAdmission()
		return unknownOutcome(nil, "target %s did not report the position of the commit", l.hdr.Target)
	}
	if l.batchSent {
		l.recycleConn() // not needed while the replicas confirm
	}
	if err := l.group.Confirm(&l.ctx, pos); err != nil {
		l.recycleConn()
		l.releaseAdmission()
		return unknownOutcome(err, "replicas did not confirm the write before the deadline")
	}
	if err := sink.SendToken(pos); err != nil {
		return l.callerGone(err)
	}
	return nil
}

func (l *localExecutor) commitPosition() (row [][]byte, status byte, err error) {
	if l.positionQueried {
		return l.readRow()
	}
	if l.quiesce != nil {
		l.quiesce() // only one goroutine may write
	}
	return l.queryRow(positionQuery)
}

func parsePosition(row [][]byte) (siskin.Position, bool) {
	if len(row) != 2 {
		return siskin.Position{}, false
	}
	term, ok := parseTerm(row[0])
	lsn, err := siskin.ParseLSN(string(row[1]))
	return siskin.Position{Term: term, LSN: lsn}, ok && err == nil
}
