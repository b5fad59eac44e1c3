package relay

import (
	"errors"
	"os"
	"sync"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/internal/pool"
)

// remoteExecutor runs a transaction at the home of another VM.
type remoteExecutor struct {
	conn    *pool.Conn
	home    siskin.VMID
	request uint64
	sent    bool

	mu           sync.Mutex // a Cancel in progress ends before conn is released
	connReleased bool
}

// Send implements Executor.
func (l *remoteExecutor) Send(batch []byte, _ bool) error {
	l.conn.CheckOwner(l.request)
	if err := l.conn.W.Raw(batch); err != nil {
		return err
	}
	l.sent = true
	return l.conn.W.Flush()
}

// Writer implements Executor.
func (l *remoteExecutor) Writer() *frame.Writer {
	l.sent = true
	return l.conn.W
}

// RelayAnswer implements Executor.
func (l *remoteExecutor) RelayAnswer(sink Sink, stopAtCopy bool, quiesce func()) (Result, *Failure) {
	r := l.conn.R
	for {
		if r.Buffered() == 0 {
			if err := sink.Flush(); err != nil {
				return Result{}, l.callerGone(err)
			}
		}
		h, err := r.Next()
		if err != nil {
			return Result{}, l.connFailed(err)
		}
		switch h.Type {
		case failureType:
			return Result{}, l.readFailure(quiesce == nil)
		case 'Z':
			return l.handleReady(sink)
		}
		if err := forward(sink, h, r); err != nil {
			var s sinkError
			if errors.As(err, &s) {
				return Result{}, l.callerGone(s.error)
			}
			return Result{}, l.connFailed(err)
		}
		if h.Type == 'G' && stopAtCopy {
			if err := sink.Flush(); err != nil {
				return Result{}, l.callerGone(err)
			}
			return Result{CopyIn: true}, nil
		}
	}
}

func (l *remoteExecutor) handleReady(sink Sink) (Result, *Failure) {
	body, err := l.conn.R.Body(frame.BufferSize)
	if err != nil || len(body) != 1 {
		return Result{}, l.connFailed(err)
	}
	status := body[0]
	if sink.SendMessage('Z', statusBody(status)) != nil || sink.Flush() != nil {
		return Result{}, l.callerGone(sink.Err())
	}
	return Result{Status: status}, nil
}

// readFailure reads the failure that the home sent. The home then discards the
// rest of the batch and reports ready. After that the connection can be reused,
// unless the batch is still being sent.
func (l *remoteExecutor) readFailure(batchSent bool) *Failure {
	f := &Failure{}
	body, err := l.conn.R.Body(maxHeaderSize)
	if err == nil {
		err = f.Decode(body)
	}
	if err != nil {
		return l.connFailed(err)
	}
	conn := l.releaseConn()
	if conn == nil {
		return f
	}
	if !batchSent {
		conn.Close(nil)
		return f
	}
	go runGuarded(conn, func() {
		h, err := conn.R.Next()
		if err != nil || h.Type != 'Z' || conn.R.Skip() != nil {
			conn.Close(nil)
			return
		}
		conn.Recycle(l.request)
	})
	return f
}

func (l *remoteExecutor) releaseConn() *pool.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connReleased {
		return nil
	}
	l.connReleased = true
	return l.conn
}

// Finish implements Executor.
func (l *remoteExecutor) Finish() {
	if conn := l.releaseConn(); conn != nil {
		conn.Recycle(l.request)
	}
}

// Abort implements Executor.
func (l *remoteExecutor) Abort(cause error) {
	if conn := l.releaseConn(); conn != nil {
		conn.Close(cause)
	}
}

// Cancel implements Executor.
func (l *remoteExecutor) Cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.connReleased {
		_ = l.conn.Cancel(cancelTimeout) // a cancel request has no answer
	}
}

func (l *remoteExecutor) connFailed(err error) *Failure {
	l.Abort(err)
	if !l.sent {
		return unsentFailure(err)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return unknownOutcome(err, "VM %s did not answer before the deadline", l.home)
	}
	return unknownOutcome(err, "connection to VM %s failed before it answered", l.home)
}

func (l *remoteExecutor) callerGone(err error) *Failure {
	if conn := l.releaseConn(); conn != nil {
		go runGuarded(conn, func() {
			_ = conn.Cancel(cancelTimeout) // frees the target early
			conn.Close(nil)
		})
	}
	f := unknownOutcome(err, "caller's connection failed")
	f.CallerGone = true
	return f
}
