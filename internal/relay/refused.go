package relay

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/pkg/config"
)

// sqlstateReadOnly is the SQLSTATE of a write on a target that is not a
// primary.
const sqlstateReadOnly = "25006"

// mayBeRefusal reports whether an error could prove that a write ran nothing.
func (l *localExecutor) mayBeRefusal() bool {
	return l.ranNothing() && l.conn.R.Remaining() <= maxError
}

// ranNothing reports whether no statement of a write has completed and no part
// of the answer was sent to the caller. The messages before the end of the
// first statement, such as ParseComplete, are held back for this check.
func (l *localExecutor) ranNothing() bool {
	return !l.relayed && l.commands == 0 && l.status == 'I' && l.batchSent && l.route.Mode == config.WriteRoute
}

// maxError limits the size of a target's error in a failure message.
const maxError = 4 << 10

// readRefusal reads the target's error up to the end of the answer. If the
// target is no longer a primary, accepts no writes on this connection or has
// paused them briefly, the error proves that the write ran nothing. Any other
// error is relayed to the caller.
func (l *localExecutor) readRefusal(sink Sink) (Result, *Failure) {
	body, err := l.conn.R.Body(frame.BufferSize)
	if err != nil {
		return Result{}, l.connFailed(err)
	}
	targetError := bytes.Clone(body)
	_, _, status, err := l.readToReady()
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

// classifyRefusal determines why the target refuses the write. A write in a
// read-only transaction of the caller is refused only after its BEGIN was
// answered. So for any reason, the write ran nothing here and may be sent
// again.
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
