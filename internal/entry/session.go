package entry

import (
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/internal/memory"
	"siskintray.example/siskin/internal/table"
)

// Session is the session of one caller.
type Session struct {
	e        *Entry
	c        siskin.CallerConn
	database string
	digest   [sha256.Size]byte
	values   []home.Value // ordered by name
	prepared map[string]home.Prepared
	// stateSize is the total length of the names and texts of both.
	stateSize   siskin.Bytes
	stateMemory memory.Hold
	// floor is the position of the newest acknowledged commit of the session.
	floor siskin.Position
	tx    *transaction
	// busy is set while a statement is in progress.
	busy atomic.Bool
	// inTx mirrors tx != nil for other goroutines.
	inTx atomic.Bool
	// draining is set when the session is to end as soon as no statement or
	// transaction is in progress.
	draining atomic.Bool
}

// errSessionEnded ends a session after its last answer.
var errSessionEnded = errors.New("the session has ended")

// serve runs the session until the caller or the VM ends it.
func (s *Session) serve() {
	defer s.e.remove(s)
	defer s.stateMemory.Release()
	defer s.recoverPanic()
	defer s.rollbackOpen() // a panic in it is recovered as well
	defer s.close()
	if err := s.start(); err != nil {
		return
	}
	for {
		st, err := s.c.Next()
		if errors.Is(err, siskin.ErrInterrupted) && s.tx != nil && !s.e.finishing.Load() {
			continue // the transaction began while the session was asked to end
		}
		if err != nil {
			s.e.handleReadError(s, err)
			return
		}
		s.busy.Store(true)
		a, err := s.answer(&st)
		if a != nil {
			if werr := s.c.Answer(a); werr != nil {
				return
			}
		}
		s.inTx.Store(s.tx != nil)
		s.busy.Store(false)
		if err != nil || s.e.finishing.Load() {
			return
		}
		if s.draining.Load() && s.tx == nil {
			s.c.Interrupt()
		}
	}
}

// start reads the opening message and accepts or refuses the session.
func (s *Session) start() error {
	database, key, err := s.c.Start()
	if err != nil {
		s.e.handleReadError(s, err)
		return err
	}
	s.database, s.digest = database, table.Digest(key)
	s.awaitConfiguration()
	route, customer, refusal := s.authorize()
	if refusal == nil && !s.mayBegin(route) {
		refusal = &siskin.Answer{Code: siskin.Busy, Message: stoppingMessage}
	}
	if refusal != nil {
		s.e.recordRefusedSession(s, refusal)
		return errors.Join(s.c.Refuse(refusal.Code, refusal.Message), errSessionEnded)
	}
	s.chargeTo(customer)
	return s.c.Ready()
}

// configurationWait is how long a new session waits for the first
// configuration of a VM that has just started. The VM gets it from peers or
// the store within half a second.
const configurationWait = 700 * time.Millisecond

// awaitConfiguration waits until this VM has a configuration. After a power
// failure of the whole fleet the balancer sends callers to VMs that are not
// ready yet.
func (s *Session) awaitConfiguration() {
	t := s.e.cfg.Table
	for limit := s.e.cfg.Clock.After(configurationWait); ; {
		changed := t.Changed()
		if t.Snapshot().Version > 0 {
			return
		}
		select {
		case <-changed:
		case <-limit:
			return
		}
	}
}

// authorize returns the route and the customer of the session under the
// current deployment, or the answer that refuses the session.
func (s *Session) authorize() (*siskin.RouteSpec, siskin.CustomerID, *siskin.Answer) {
	snap := s.e.cfg.Table.Snapshot()
	if snap.Version == 0 {
		return nil, "", &siskin.Answer{Code: siskin.Busy, Message: "this VM has just started and knows no routes yet; retry"}
	}
	route, ok := snap.Route(s.database)
	if !ok {
		return nil, "", &siskin.Answer{Code: siskin.NoDatabase, Message: "no route has this name; check the name of the database"}
	}
	customer, ok := snap.CustomerByDigest(s.digest)
	if !ok && !route.AllowsAnonymous {
		return nil, "", &siskin.Answer{Code: siskin.NoAuth, Message: "the key is unknown or withdrawn; use a valid key"}
	}
	return route, customer, nil
}

// state returns the transaction state as reported to the caller.
func (s *Session) state() siskin.TxState {
	switch {
	case s.tx == nil:
		return siskin.TxIdle
	case s.tx.failed:
		return siskin.TxFailed
	default:
		return siskin.TxOpen
	}
}

// emptyAnswer returns a successful answer without rows, for statements that
// only change the session.
func (s *Session) emptyAnswer() *siskin.Answer { return &siskin.Answer{State: s.state()} }

func (s *Session) refuse(code siskin.AnswerCode, message string) *siskin.Answer {
	return &siskin.Answer{Code: code, Message: message, State: s.state()}
}

// answer executes one statement. A non-nil error ends the session after the
// answer.
func (s *Session) answer(st *siskin.Statement) (*siskin.Answer, error) {
	if s.tx != nil && s.tx.failed && st.Kind != siskin.Commit && st.Kind != siskin.Rollback {
		return s.refuse(siskin.Malformed, "the transaction has failed; end it first"), nil
	}
	switch st.Kind {
	case siskin.SetValue:
		return s.setValue(st), nil
	case siskin.Prepare:
		return s.prepare(st), nil
	case siskin.Deallocate:
		return s.deallocate(st), nil
	case siskin.Begin, siskin.BeginRead:
		if s.tx != nil {
			return s.fail(siskin.Malformed, "a transaction is open already; end it first"), nil
		}
		if s.draining.Load() || s.e.shutdown.Load() != nil {
			if route, _, refusal := s.authorize(); refusal == nil && !s.mayBegin(route) {
				return s.refuse(siskin.Busy, stoppingMessage), nil
			}
		}
		s.tx = &transaction{readOnly: st.Kind == siskin.BeginRead}
		return s.emptyAnswer(), nil
	case siskin.Rollback:
		if s.tx == nil {
			return s.refuse(siskin.Malformed, "no transaction is open"), nil
		}
		s.rollback()
		return s.emptyAnswer(), nil
	case siskin.Commit:
		if s.tx == nil {
			return s.refuse(siskin.Malformed, "no transaction is open"), nil
		}
		if s.tx.failed {
			s.rollback()
			return s.refuse(siskin.Aborted, "the transaction had failed and was rolled back; run it again"), nil
		}
	case siskin.Execute:
		p, ok := s.prepared[st.Name]
		if !ok {
			return s.fail(siskin.NoStatement, "no prepared statement has this name; prepare it first"), nil
		}
		st.Writes = p.Writes
	case siskin.Read, siskin.Write:
	default:
		return s.fail(siskin.Malformed, "the statement is not understood"), nil
	}
	return s.runOperation(st)
}

// fail refuses a statement and marks an open transaction as failed.
func (s *Session) fail(code siskin.AnswerCode, message string) *siskin.Answer {
	if s.tx != nil {
		s.tx.failed = true
	}
	return s.refuse(code, message)
}

// isNormalClose reports whether err means that the caller or this VM closed
// the connection.
func isNormalClose(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed)
}
