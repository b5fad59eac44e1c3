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

// peerConn is one connection from another VM. It is the source and the sink of
// the transactions that run on it, one at a time.
type peerConn struct {
	srv    *Server
	conn   net.Conn
	id     uint32
	secret []byte
	r      *frame.Reader
	w      *frame.Writer
	batch  frame.Batch
	last   byte // type of the last message consumed

	mu       sync.Mutex
	leg      Executor // in progress
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

// stopIdle ends the connection when no transaction runs on it.
func (c *peerConn) stopIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.IsZero() {
		_ = c.conn.SetReadDeadline(longAgo) // fails only when closed already
	}
}

func (c *peerConn) cancelStatement(secret []byte) {
	c.mu.Lock()
	leg := c.leg
	c.mu.Unlock()
	if leg != nil && subtle.ConstantTimeCompare(secret, c.secret) == 1 {
		leg.Cancel()
	}
}

// abort ends the transaction in progress.
func (c *peerConn) abort() {
	c.mu.Lock()
	leg := c.leg
	c.mu.Unlock()
	if leg != nil {
		leg.Abort(nil)
	}
}

// setTransaction marks the beginning (deadline set) or end of a transaction.
func (c *peerConn) setTransaction(leg Executor, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leg, c.deadline = leg, deadline
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
			if c.transaction() != nil {
				return
			}
		case 'Q': // a probe of the peer's pool
			if c.r.Skip() != nil || c.w.Message(&pgproto3.EmptyQueryResponse{}) != nil || c.ready('I') != nil {
				return
			}
		case 'd', 'c', 'f':
			if c.r.Skip() != nil { // copy data behind an error
				return
			}
		default:
			return
		}
	}
}

func (c *peerConn) ready(status byte) error {
	if err := c.w.Message(&pgproto3.ReadyForQuery{TxStatus: status}); err != nil {
		return err
	}
	return c.w.Flush()
}

// transaction reads the rest of a header and runs the transaction. An error
// means that the connection cannot be used anymore.
func (c *peerConn) transaction() error {
	body, err := c.r.Body(maxHeaderSize)
	if err != nil {
		return err
	}
	if err := c.header.Decode(body); err != nil {
		return err
	}
	c.srv.log.Trace(c.request(), nil, "forwarded transaction arrived")
	deadline := c.srv.home.Clock.Now().Add(c.header.Remaining)
	c.setTransaction(nil, deadline.Add(time.Second)) // time for the failure to be sent
	leg, f := c.srv.home.Begin(&c.header)
	if f != nil {
		return c.refuse(f)
	}
	c.setTransaction(leg, deadline.Add(time.Second))
	for {
		last, err := Collect(c, &c.batch)
		if err != nil {
			leg.Abort(nil)
			return err
		}
		res, f := Exchange(c, leg, c, &c.batch, last)
		c.batch.Reset()
		switch {
		case f != nil && f.CallerGone:
			return f.Err
		case f != nil:
			f.Admitted = true
			if last == 0 && !ends(c.last) {
				return c.refuse(f)
			}
			return c.failed(f)
		case res.Status == 'I':
			leg.Finish()
			return nil
		}
	}
}

// request names the transaction in the log.
func (c *peerConn) request() logs.Request {
	h := &c.header
	return logs.Request{ID: h.Request, Service: h.Service, Route: h.Route, Customer: h.Customer, Target: h.Target}
}

// failedMessage is the log line of a transaction that fails at its home. The
// entry VM may send it again.
const failedMessage = "forwarded transaction failed"

func (c *peerConn) failed(f *Failure) error {
	f.Check()
	c.srv.log.Failed(c.request(), f.Err, failedMessage)
	if err := c.sendFailure(f); err != nil {
		return err
	}
	return c.ready('I')
}

// sendFailure sends a failure, unless the peer has a part of a message and would
// take the failure for the rest; then the connection ends.
func (c *peerConn) sendFailure(f *Failure) error {
	if c.w.Torn() {
		return errors.Join(c.w.Flush(), f.Err)
	}
	return c.w.Message(f)
}

// refuse sends a failure, discards the rest of the batch up to its first Query
// or Sync and reports ready.
func (c *peerConn) refuse(f *Failure) error {
	f.Check()
	c.srv.log.Failed(c.request(), f.Err, failedMessage)
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
		if ends(h.Type) {
			return c.ready('I')
		}
	}
}

// SendToken implements Sink.
func (c *peerConn) SendToken(pos siskin.Position) error {
	text := c.srv.tokens.Encode(token.Token{Service: c.header.Service, Position: pos})
	return c.w.Message(&pgproto3.ParameterStatus{Name: TokenParameter, Value: text})
}
