package front

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/internal/relay"
)

// errFault is what the caller of a session with a fault is told. Its SQLSTATE
// is XX000.
var errFault = siskin.NewError(siskin.Internal, "session ended by a fault of this VM; a statement in progress may have run").
	WithRemedy("check whether the request took effect before repeating it")

// survive ends this session alone after a fault of the program, so that one
// statement does not end the sessions of all callers. The connection of the
// transaction is closed, since nothing is known of its state.
func (c *session) survive() {
	v := recover()
	if v == nil {
		return
	}
	c.srv.fault(v, c.logged())
	c.abort()
	c.fatal(errFault)
	c.srv.sessions.Delete(c.id)
	linger(c.conn)
	c.finish()
}

func (c *session) abort() {
	c.mu.Lock()
	leg := c.leg
	c.mu.Unlock()
	if leg != nil {
		leg.Abort(nil)
	}
}

// fault counts and logs a session that ended by a fault.
func (s *Server) fault(v any, q logs.Request) {
	s.counts.faults.Add(1)
	relay.Recovered(v).Report(s.log, q, "a session ended by a fault of this program")
}
