package entry

import (
	"fmt"
	"runtime/debug"

	"siskintray.example/siskin/internal/logs"
)

// recoverPanic limits a panic to this session, so that one statement cannot
// end the sessions of all callers. The caller gets no answer, so the outcome
// of its statement is left open.
func (s *Session) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	s.e.cfg.Metrics.Panics.Inc(1)
	s.e.cfg.Log.Error().Str("Database", logs.Clip(s.database)).Str("Panic", fmt.Sprint(v)).Bytes("Stack", debug.Stack()).
		Msg("a session ended by a fault of this program")
}

// rollbackOpen rolls back the transaction if one is open.
func (s *Session) rollbackOpen() {
	if s.tx != nil {
		s.rollback()
	}
}

// close closes the connection. It comes before the rollback of an open
// transaction, whose round trip would leave a further request without an answer.
func (s *Session) close() {
	_ = s.c.Close() // the caller may have closed it
}
