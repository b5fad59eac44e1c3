package front

import (
	"errors"
	"os"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/internal/relay"
)

// maxIdleRewritten is the largest buffer for rewritten messages, in bytes, that
// an idle session keeps.
const maxIdleRewritten = 1 << 10

// pastDeadline is a read deadline that ends a waiting read at once.
var pastDeadline = time.Unix(1, 0)

// goroutineIdleLimit is the idle time after which a session continues in a new
// goroutine. Doing so after each transaction added 45 us to its latency.
const goroutineIdleLimit = time.Second

// loop runs the session until it ends. A transaction grows the stack to 8 KB,
// and an idle read through TLS keeps the runtime from shrinking it. An idle
// session therefore continues in a new goroutine, whose stack is half as large
// while it waits.
func (c *session) loop() {
	defer c.recoverPanic()
	wait := time.Duration(0) // the first wait in a new goroutine has no limit
	for {
		idleTooLong, ok := c.step(wait)
		if idleTooLong {
			go c.loop()
			return
		}
		if !ok {
			break
		}
		wait = goroutineIdleLimit
	}
	c.srv.sessions.Delete(c.id)
	if c.endError() != nil {
		linger(c.conn)
	}
	c.finish()
}

// step waits for the next message and handles it, or the transaction that it
// begins. With a positive wait, idleTooLong reports that no message arrived
// within it; zero means no limit. ok is false when the session has ended.
func (c *session) step(wait time.Duration) (idleTooLong, ok bool) {
	if !c.setIdle(wait) {
		c.sendFatal(c.endError())
		return false, false
	}
	h, err := c.r.Peek()
	if err != nil {
		if wait > 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.endError() == nil {
			return true, true
		}
		c.endAfterError(err)
		return false, false
	}
	if wait > 0 {
		c.Resume() // the limit applies only to the wait
	}
	return false, c.handle(h)
}

// handle processes a message by its type. It returns false when the session has
// ended.
func (c *session) handle(h frame.Header) bool {
	var err error
	switch h.Type {
	case 'X':
		return false
	case 'd', 'c', 'f', 'H':
		// Flush, and CopyData after a failed COPY, get no answer.
		if _, err = c.r.Next(); err == nil {
			err = c.r.Skip()
		}
	case 'S':
		if _, err = c.r.Next(); err == nil {
			err = errors.Join(c.r.Skip(), c.ready())
		}
	case 'Q', 'P', 'B', 'D', 'E', 'C', 'F':
		err = c.run(h)
	default:
		err = siskin.NewError(siskin.BadInput, "message %q is not part of the protocol", h.Type).
			WithRemedy("check that the client speaks the PostgreSQL protocol 3.0")
	}
	if err != nil {
		c.endAfterError(err)
	}
	return err == nil
}

// endAfterError ends the session after an error. The caller receives the error
// when it is a siskin.Error or the transaction timeout.
func (c *session) endAfterError(err error) {
	if e := c.endError(); e != nil {
		c.sendFatal(e)
		return
	}
	var e *siskin.Error
	switch {
	case errors.As(err, &e):
		c.sendFatal(e)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.sendFatal(errTransactionTimeout)
	}
}

// errTransactionTimeout is the error of a session that keeps a transaction open
// past the route's deadline. Its SQLSTATE is 25P03.
var errTransactionTimeout = siskin.NewError(siskin.NotRun, "transaction was open at the route's deadline and was rolled back").
	WithRemedy("use shorter transactions or a route with a longer deadline")

// sqlStates holds the SQLSTATEs of errors for which clients expect another code
// than that of the error kind.
var sqlStates = map[*siskin.Error]string{errStopping: "57P01", errTransactionTimeout: "25P03"}

// sendFatal sends an error as the last message of the session.
func (c *session) sendFatal(e *siskin.Error) {
	if e == nil {
		return
	}
	c.srv.counts.refused[e.Kind].Add(1)
	if c.w.Truncated() {
		return
	}
	msg := relay.ErrorResponse("FATAL", e)
	if code, ok := sqlStates[e]; ok {
		msg.Code = code
	}
	if c.conn.SetWriteDeadline(time.Now().Add(finalWriteTimeout)) != nil || c.w.Message(msg) != nil {
		return
	}
	_ = c.w.Flush() // the connection ends in any case
}

// setIdle marks the session as idle and limits the wait for the next message;
// zero means no limit. It returns false when the session must end.
func (c *session) setIdle(wait time.Duration) bool {
	c.batch.Reset()
	if cap(c.rewritten) > maxIdleRewritten {
		c.rewritten = nil
	}
	c.stmts.endTransaction()
	c.r.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endErr != nil {
		return false
	}
	c.idle, c.executor, c.deadline = true, nil, time.Time{}
	if c.conn.SetDeadline(time.Time{}) != nil {
		return false
	}
	return wait == 0 || c.conn.SetReadDeadline(time.Now().Add(wait)) == nil
}

// setTransaction marks the start of a transaction and sets its deadline. The
// write deadline is later, so that a timeout can still be reported to the
// caller.
func (c *session) setTransaction(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.deadline = false, deadline
	if c.endErr != nil {
		return c.endErr
	}
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.conn.SetWriteDeadline(deadline.Add(finalWriteTimeout))
}

func (c *session) setExecutor(executor relay.Executor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executor = executor
}

// end requests the end of the session. An idle session ends at once. Others end
// after their transaction or, when now is set, before its next batch.
func (c *session) end(reason *siskin.Error, now bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endErr == nil {
		c.endErr = reason
	}
	if c.idle || now {
		_ = c.conn.SetReadDeadline(pastDeadline) // fails only when closed already
	}
}

func (c *session) endError() *siskin.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endErr
}

// Interrupt implements relay.Source.
func (c *session) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.conn.SetReadDeadline(pastDeadline) // fails only when closed already
}

// Resume implements relay.Source.
func (c *session) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endErr == nil || c.endErr == errStopping {
		_ = c.conn.SetReadDeadline(c.deadline) // fails only when closed already
	}
}
