package relay

import (
	"errors"
	"os"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/retry"
)

// fail ends the transaction after the target connection failed.
func (l *local) fail(err error) *Failure {
	conn := l.takeConn()
	if errors.Is(err, errUnconfirmed) {
		if conn != nil {
			conn.Close(nil)
		}
		l.endWork()
		return unknown(err, "replicas did not confirm the write before the deadline")
	}
	silent := l.replaced.Load() || (conn != nil && conn.Silent())
	timeout := errors.Is(err, os.ErrDeadlineExceeded) && !silent
	if conn != nil {
		if timeout {
			go guarded(conn, func() {
				_ = conn.Cancel(cancelTimeout) // frees the target early
				conn.Close(err)
			})
		} else {
			conn.Close(err)
			l.group.ReportFailure(l.hdr.Target, err)
		}
	}
	l.endWork()
	switch {
	case !l.sent:
		return unsent(err)
	case silent:
		return unknown(err, "connection to target %s went silent or its primary was replaced", l.hdr.Target)
	case timeout:
		return unknown(err, "target %s did not answer before the deadline", l.hdr.Target)
	}
	return unknown(err, "connection to target %s failed before it answered", l.hdr.Target)
}

// callerGone ends the transaction after the caller's connection failed. The
// target's answer is never read by anyone.
func (l *local) callerGone(err error) *Failure {
	conn := l.takeConn()
	if conn != nil {
		go guarded(conn, func() {
			_ = conn.Cancel(cancelTimeout) // frees the target early
			conn.Close(nil)
		})
	}
	l.endWork()
	f := unknown(err, "caller's connection failed")
	f.CallerGone = true
	return f
}

// reported ends the transaction after the target reported that it refused it
// without running anything.
func (l *local) reported(report []byte) *Failure {
	l.recycle()
	l.endWork()
	e := siskin.NewError(siskin.NotRun, "target %s refused the write and ran nothing", l.hdr.Target).
		WithRemedy("repeat the request; it goes to the primary")
	return &Failure{Proof: retry.Refused, Err: e, TargetError: report}
}

// passing ends a write that the target refused although it is the primary: a
// pause for a planned change ended in between. The group is not told, since a
// statement of the caller can raise the same error again and again, and writes
// of others would be held each time.
func (l *local) passing(report []byte) *Failure {
	l.recycle()
	l.endWork()
	e := siskin.NewError(siskin.NotRun, "target %s refused the write for a moment and ran nothing", l.hdr.Target).
		WithRemedy("repeat the request")
	return &Failure{Proof: retry.ReportedAbort, Err: e, TargetError: report}
}
