package front

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/relay"
)

// errInternal is the error that the caller of a session receives after a panic
// in it. Its SQLSTATE is XX000.
var errInternal = siskin.NewError(siskin.Internal, "session ended by a fault of this VM; a statement in progress may have run").
	WithRemedy("check whether the request took effect before repeating it")

// recoverPanic ends this session alone after a panic, so that one statement
// does not end the sessions of all callers. The connection of the transaction
// is closed, since its state is unknown.
func (c *session) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	c.srv.reportPanic(v, c.logRequest())
	c.abortTransaction()
	c.sendFatal(errInternal)
	c.srv.sessions.Delete(c.id)
	linger(c.conn)
	c.finish()
}

func (c *session) abortTransaction() {
	c.mu.Lock()
	executor := c.executor
	c.mu.Unlock()
	if executor != nil {
		executor.Abort(nil)
	}
}

// reportPanic counts and logs a session that ended by a panic.
func (s *Server) reportPanic(v any, q logs.Request) {
	s.counts.panics.Add(1)
	relay.Recovered(v).Report(s.log, q, "a session ended by a fault of this program")
}
