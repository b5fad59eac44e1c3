package relay

import (
	"bytes"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/pkg/config"
)

// stateReadOnly is the SQLSTATE of a write at a target that is no primary.
const stateReadOnly = "25006"

// mayBeRefusal says that an error could show that a write ran nothing.
func (l *local) mayBeRefusal() bool { return l.ranNothing() && l.conn.R.Left() <= maxReport }

// ranNothing says that no statement of a write completed so far and that the
// caller got nothing of the answer. The messages before the first statement's
// end, such as ParseComplete, are held for that.
func (l *local) ranNothing() bool {
	return !l.passed && l.completed == 0 && l.status == 'I' && l.collected && l.route.Mode == config.WriteRoute
}

// maxReport bounds an error that travels in a failure message.
const maxReport = 4 << 10

// refused reads the target's error to the end of the answer. When the target is
// no primary anymore, takes no writes on this connection or paused them for a
// moment, the error proves that the write ran nothing. Otherwise it is the
// caller's.
func (l *local) refused(sink Sink) (Result, *Failure) {
	body, err := l.conn.R.Body(frame.BufferSize)
	if err != nil {
		return Result{}, l.fail(err)
	}
	report := bytes.Clone(body)
	_, status, err := l.readRow()
	if err != nil {
		return Result{}, l.fail(err)
	}
	if l.asked {
		row, _, err := l.readRow()
		if err != nil {
			return Result{}, l.fail(err)
		}
		l.stale = row == nil
	}
	var e pgproto3.ErrorResponse
	if status == 'I' && e.Decode(report) == nil && e.Code == stateReadOnly {
		return Result{}, l.refusedWrite(report)
	}
	l.status = status
	if l.releaseHeld(sink) != nil || sink.SendMessage('E', report) != nil || sink.SendMessage('Z', statusBody(status)) != nil || sink.Flush() != nil {
		return Result{}, l.callerGone(sink.Err())
	}
	return Result{Status: status}, nil
}

// refusedWrite finds out why the target refuses the write. A caller's own
// read-only transaction is refused after its BEGIN was answered, so whatever
// the reason is, the write ran nothing and may be sent again.
func (l *local) refusedWrite(report []byte) *Failure {
	at, err := l.queryStatus()
	if err != nil {
		return l.fail(err)
	}
	if at.Role != siskin.RolePrimary || at.ClaimedTerm > at.StreamTerm || at.Draining {
		l.group.ReportFailure(l.hdr.Target, siskin.NewError(siskin.NotRun, "target %s refuses writes", l.hdr.Target))
		return l.reported(report)
	}
	if !l.asked {
		row, _, err := l.queryRow(positionQuery)
		if err != nil {
			return l.fail(err)
		}
		l.stale = row == nil
	}
	if l.stale {
		return l.reported(report)
	}
	return l.passing(report)
}
