package entry

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
)

// Shutdown begins a planned stop. Statements that cannot end in time are
// refused, so that each one that is sent gets its answer.
func (e *Entry) Shutdown(s home.Shutdown) { e.shutdown.Store(&s) }

// admit returns the time that a statement may take, and whether it may be sent.
func (e *Entry) admit(kind siskin.StatementKind, inTx bool, timeout time.Duration) (time.Duration, bool) {
	if s := e.shutdown.Load(); s != nil {
		return s.Admit(e.cfg.Clock.Now(), kind, inTx, timeout)
	}
	return timeout, true
}

// finishInterval is the time between two checks whether all sessions have
// ended.
const finishInterval = 10 * time.Millisecond

// FinishSessions ends all sessions, each after the answer to the statement in
// progress, and waits for them until limit has passed. Open transactions are
// rolled back.
func (e *Entry) FinishSessions(limit time.Duration) {
	e.finishing.Store(true)
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(finishInterval) {
		e.mu.Lock()
		for s := range e.sessions {
			if !s.busy.Load() {
				s.c.Interrupt()
			}
		}
		n := len(e.sessions)
		e.mu.Unlock()
		if n == 0 {
			return
		}
	}
}

// mayBegin reports whether a transaction may begin: the session is not to end,
// and a planned stop leaves time for a statement and a commit.
func (s *Session) mayBegin(route *siskin.RouteSpec) bool {
	_, ok := s.e.admit(siskin.Begin, true, route.Timeout)
	return ok && !s.draining.Load()
}

// stoppingMessage is the message of refusals because the session is to end.
const stoppingMessage = "this VM takes no more work; not run, connect again"

// abortForShutdown rolls back the transaction because its statement, or the
// commit after it, could not end before a planned stop does.
func (o *operation) abortForShutdown() *siskin.Answer {
	o.reason = "Stopping"
	tx := *o.s.tx
	o.s.rollback()
	if o.st.Kind != siskin.Commit {
		tx.failed, tx.begun = true, false
		o.s.tx = &tx
	}
	return o.s.refuse(siskin.Aborted, "the transaction was rolled back because this VM is stopping; run it again on a new connection")
}
