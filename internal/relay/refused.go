package relay

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/pkg/config"
)

// sqlstateReadOnly is the SQLSTATE of a write at a target that is no primary.
const sqlstateReadOnly = "25006"

// mayBeRefusal says that an error could show that a write ran nothing.
func (l *localExecutor) mayBeRefusal() bool { return l.ranNothing() && l.conn.R.Left() <= maxError }

// ranNothing says that no statement of a write completed so far and that the
// caller got nothing of the answer. The messages before the first statement's
// end, such as ParseComplete, are held for that.
func (l *localExecutor) ranNothing() bool {
	return !l.relayed && l.commands == 0 && l.status == 'I' && l.batchSent && l.route.Mode == config.WriteRoute
}

// maxError bounds an error that travels in a failure message.
const maxError = 4 << 10

// readRefusal reads the target's error to the end of the answer. When the target is
// no primary anymore, takes no writes on this connection or paused them for a
// moment, the error proves that the write ran nothing. Otherwise it is the
// caller's.
func (l *localExecutor) readRefusal(sink Sink) (Result, *Failure) {
	body, err := l.conn.R.Body(frame.BufferSize)
	if err != nil {
		return Result{}, l.connFailed(err)
	}
	targetError := bytes.Clone(body)
	_, status, err := l.readRow()
	if err != nil {
		return Result{}, l.connFailed(err)
	}
	if l.positionQueried {
		row, _, err := l.readRow()
		if err != nil {
			return Result{}, l.connFailed(err)
		}
		l.refusesWrites = row == nil
	}
	var e pgproto3.ErrorResponse
	if status == 'I' && e.Decode(targetError) == nil && e.Code == sqlstateReadOnly {
		return Result{}, l.classifyRefusal(targetError)
	}
	l.status = status
	if l.releaseHeld(sink) != nil || sink.SendMessage('E', targetError) != nil || sink.SendMessage('Z', statusBody(status)) != nil || sink.Flush() != nil {
		return Result{}, l.callerGone(sink.Err())
	}
	return Result{Status: status}, nil
}

// classifyRefusal finds out why the target refuses the write. A caller's own
// read-only transaction is refused after its BEGIN was answered, so whatever
// the reason is, the write ran nothing and may be sent again.
func (l *localExecutor) classifyRefusal(targetError []byte) *Failure {
	status, err := l.queryStatus()
	if err != nil {
		return l.connFailed(err)
	}
	if status.Role != siskin.RolePrimary || status.ClaimedTerm > status.StreamTerm || status.Draining {
		l.group.ReportFailure(l.hdr.Target, siskin.NewError(siskin.NotRun, "target %s refuses writes", l.hdr.Target))
		return l.refusalFailure(targetError)
	}
	if !l.positionQueried {
		row, _, err := l.queryRow(positionQuery)
		if err != nil {
			return l.connFailed(err)
		}
		l.refusesWrites = row == nil
	}
	if l.refusesWrites {
		return l.refusalFailure(targetError)
	}
	return l.transientRefusalFailure(targetError)
}
