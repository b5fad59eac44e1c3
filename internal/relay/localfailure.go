package relay

import (
	"errors"
	"os"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/retry"
)

// connFailed ends the transaction after an error on the target connection.
func (l *localExecutor) connFailed(err error) *Failure {
	conn := l.releaseConn()
	if errors.Is(err, errUnconfirmed) {
		if conn != nil {
			conn.Close(nil)
		}
		l.releaseAdmission()
		return unknownOutcome(err, "replicas did not confirm the write before the deadline")
	}
	aborted := l.replaced.Load() || (conn != nil && conn.Silent())
	timedOut := errors.Is(err, os.ErrDeadlineExceeded) && !aborted
	if conn != nil {
		if timedOut {
			go runGuarded(conn, func() {
				_ = conn.Cancel(cancelTimeout) // frees the target early
				conn.Close(err)
			})
		} else {
			conn.Close(err)
			l.group.ReportFailure(l.hdr.Target, err)
		}
	}
	l.releaseAdmission()
	switch {
	case !l.sent:
		return unsentFailure(err)
	case aborted:
		return unknownOutcome(err, "connection to target %s went silent or its primary was replaced", l.hdr.Target)
	case timedOut:
		return unknownOutcome(err, "target %s did not answer before the deadline", l.hdr.Target)
	}
	return unknownOutcome(err, "connection to target %s failed before it answered", l.hdr.Target)
}

// callerGone ends the transaction after an error on the caller's connection.
// The target's answer is not read.
func (l *localExecutor) callerGone(err error) *Failure {
	conn := l.releaseConn()
	if conn != nil {
		go runGuarded(conn, func() {
			_ = conn.Cancel(cancelTimeout) // frees the target early
			conn.Close(nil)
		})
	}
	l.releaseAdmission()
	f := unknownOutcome(err, "caller's connection failed")
	f.CallerGone = true
	return f
}

// refusalFailure ends the transaction after the target reported that it refused
// the transaction and ran nothing.
func (l *localExecutor) refusalFailure(targetError []byte) *Failure {
	l.recycleConn()
	l.releaseAdmission()
	e := siskin.NewError(siskin.NotRun, "target %s refused the write and ran nothing", l.hdr.Target).
		WithRemedy("repeat the request; it goes to the primary")
	return &Failure{Proof: retry.Refused, Err: e, TargetError: targetError}
}

// transientRefusalFailure ends a write that the target refused although it is
// the primary, because a pause for a planned change of primary ended in
// between. The failure is not reported to the group: a statement of the caller
// can cause the same error repeatedly, and each report would hold back the
// writes of other callers.
func (l *localExecutor) transientRefusalFailure(targetError []byte) *Failure {
	l.recycleConn()
	l.releaseAdmission()
	e := siskin.NewError(siskin.NotRun, "target %s refused the write for a moment and ran nothing", l.hdr.Target).
		WithRemedy("repeat the request")
	return &Failure{Proof: retry.ReportedAbort, Err: e, TargetError: targetError}
}
