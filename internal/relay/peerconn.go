package relay

import (
	"crypto/subtle"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/pkg/token"
)

// TokenParameter is the name of the parameter that carries a session's token.
const TokenParameter = "siskintray.token"

// peerConn is a connection from another VM. It is the Source and the Sink of
// the transactions that run on it, one at a time.
type peerConn struct {
	srv      *Server
	conn     net.Conn
	id       uint32
	secret   []byte
	r        *frame.Reader
	w        *frame.Writer
	batch    frame.Batch
	lastType byte // type of the last message consumed

	mu       sync.Mutex
	executor Executor // in progress
	deadline time.Time
	header   Header
}

func newPeerConn(s *Server, conn net.Conn) *peerConn {
	return &peerConn{
		srv: s, conn: conn, id: newID(), secret: newSecret(),
		r: frame.NewReader(conn), w: frame.NewWriter(conn),
	}
}

var longAgo = time.Unix(1, 0)

// closeIdle ends the connection if no transaction runs on it.
func (c *peerConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.IsZero() {
		_ = c.conn.SetReadDeadline(longAgo) // fails only when closed already
	}
}

func (c *peerConn) cancelStatement(secret []byte) {
	c.mu.Lock()
	executor := c.executor
	c.mu.Unlock()
	if executor != nil && subtle.ConstantTimeCompare(secret, c.secret) == 1 {
		executor.Cancel()
	}
}

// abort ends the transaction in progress.
func (c *peerConn) abort() {
	c.mu.Lock()
	executor := c.executor
	c.mu.Unlock()
	if executor != nil {
		executor.Abort(nil)
	}
}

// setTransaction records the beginning of a transaction, or its end if the
// deadline is zero.
func (c *peerConn) setTransaction(executor Executor, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executor, c.deadline = executor, deadline
	_ = c.conn.SetDeadline(deadline) // fails only when closed already
	if deadline.IsZero() && c.srv.ctx.Err() != nil {
		_ = c.conn.SetReadDeadline(longAgo)
	}
}

// serve runs transactions until the connection ends.
func (c *peerConn) serve() {
	for {
		c.setTransaction(nil, time.Time{})
		c.r.Release()
		h, err := c.r.Next()
		if err != nil {
			return
		}
		switch h.Type {
		case headerType:
			if c.runTransaction() != nil {
				return
			}
		case 'Q': // probe by the peer's pool
			if c.r.Skip() != nil || c.w.Message(&pgproto3.EmptyQueryResponse{}) != nil || c.sendReady('I') != nil {
				return
			}
		case 'd', 'c', 'f':
			if c.r.Skip() != nil { // copy data that follows an error
				return
			}
		default:
			return
		}
	}
}

func (c *peerConn) sendReady(status byte) error {
	if err := c.w.Message(&pgproto3.ReadyForQuery{TxStatus: status}); err != nil {
		return err
	}
	return c.w.Flush()
}

// runTransaction reads the rest of a header and runs the transaction. After an
// error, the connection cannot be used anymore.
func (c *peerConn) runTransaction() error {
	body, err := c.r.Body(maxHeaderSize)
	if err != nil {
		return err
	}
	if err := c.header.Decode(body); err != nil {
		return err
	}
	c.srv.log.Trace(c.logFields(), nil, "forwarded transaction arrived")
	deadline := c.srv.home.Clock.Now().Add(c.header.Remaining)
	c.setTransaction(nil, deadline.Add(time.Second)) // leaves time to send the failure
	executor, f := c.srv.home.Begin(&c.header)
	if f != nil {
		return c.failAndDiscard(f)
	}
	c.setTransaction(executor, deadline.Add(time.Second))
	for {
		last, err := Collect(c, &c.batch)
		if err != nil {
			executor.Abort(nil)
			return err
		}
		result, f := Exchange(c, executor, c, &c.batch, last)
		c.batch.Reset()
		switch {
		case f != nil && f.CallerGone:
			return f.Err
		case f != nil:
			f.Admitted = true
			if last == 0 && !endsBatch(c.lastType) {
				return c.failAndDiscard(f)
			}
			return c.endWithFailure(f)
		case result.Status == 'I':
			executor.Finish()
			return nil
		}
	}
}

// logFields returns the log fields of the transaction.
func (c *peerConn) logFields() logs.Request {
	h := &c.header
	return logs.Request{ID: h.Request, Service: h.Service, Route: h.Route, Customer: h.Customer, Target: h.Target}
}

// failedMessage is the log message for a transaction that fails at its home.
// The entry VM may retry it.
const failedMessage = "forwarded transaction failed"

func (c *peerConn) endWithFailure(f *Failure) error {
	f.Check()
	c.srv.log.Failed(c.logFields(), f.Err, failedMessage)
	if err := c.sendFailure(f); err != nil {
		return err
	}
	return c.sendReady('I')
}

// sendFailure sends a failure. If only a part of the previous message was sent,
// the peer would read the failure as the rest of it, so the connection ends
// instead.
func (c *peerConn) sendFailure(f *Failure) error {
	if c.w.Truncated() {
		return errors.Join(c.w.Flush(), f.Err)
	}
	return c.w.Message(f)
}

// failAndDiscard sends a failure, discards the rest of the batch up to its
// first Query, FunctionCall or Sync and reports ready.
func (c *peerConn) failAndDiscard(f *Failure) error {
	f.Check()
	c.srv.log.Failed(c.logFields(), f.Err, failedMessage)
	if err := c.sendFailure(f); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	for {
		h, err := c.r.Next()
		if err != nil {
			return err
		}
		if err := c.r.Skip(); err != nil {
			return err
		}
		if endsBatch(h.Type) {
			return c.sendReady('I')
		}
	}
}

// SendToken implements Sink.
func (c *peerConn) SendToken(pos siskin.Position) error {
	encoded := c.srv.tokens.Encode(token.Token{Service: c.header.Service, Position: pos})
	return c.w.Message(&pgproto3.ParameterStatus{Name: TokenParameter, Value: encoded})
}
