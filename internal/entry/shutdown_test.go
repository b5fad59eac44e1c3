package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
)

// openTx opens a session with an open transaction that a target has begun.
func (f *fixture) openTx(t *testing.T) (send func(string), receive func() (string, bool)) {
	t.Helper()
	send, receive = openSession(t, f)
	for _, statement := range []string{"BEGIN", "READ x"} {
		send(statement)
		if answer, closed := receive(); closed || !strings.Contains(answer, "DONE") {
			t.Fatalf("%s: got %q, closed %v, want success", statement, answer, closed)
		}
	}
	return send, receive
}

// TestShutdownTransaction guards against a planned stop that cuts a transaction
// in the middle of a statement: a statement that cannot end in time must be
// refused with an answer, and nothing of its transaction kept.
func TestShutdownTransaction(t *testing.T) {
	f := newFixture(t)
	homes := &blockingHomes{make(chan struct{}, 16), make(chan struct{}, 16)}
	f.e.cfg.Homes = homes
	for range 16 {
		homes.release <- struct{}{}
	}
	send, receive := f.openTx(t)
	commit, committed := f.openTx(t)
	other, answered := openSession(t, f)
	now := f.e.cfg.Clock.Now()
	f.e.Shutdown(home.Shutdown{AbortAfter: now, Deadline: now.Add(home.CommitTime / 2)})
	for _, statement := range []string{"READ x", "BEGIN"} {
		other(statement)
		if answer, closed := answered(); closed || !strings.HasPrefix(answer, "ERROR BUSY") || !strings.Contains(answer, "READY I") {
			t.Errorf("%s: got %q, closed %v, want BUSY in state I", statement, answer, closed)
		}
	}
	f.e.EndSessions(5)
	send("WRITE x 1")
	if answer, closed := receive(); closed || !strings.HasPrefix(answer, "ERROR ABORTED") || !strings.Contains(answer, "READY E") {
		t.Errorf("write: got %q, closed %v, want ABORTED in state E", answer, closed)
	}
	send("ROLLBACK")
	if answer, closed := receive(); closed || !strings.Contains(answer, "READY I") {
		t.Errorf("rollback: got %q, closed %v, want it answered in state I", answer, closed)
	}
	if answer, closed := receive(); !closed {
		t.Errorf("after the transaction: got %q, want a close", answer)
	}
	commit("COMMIT")
	if answer, closed := committed(); closed || !strings.HasPrefix(answer, "ERROR ABORTED") || !strings.Contains(answer, "READY I") {
		t.Errorf("commit: got %q, closed %v, want ABORTED in state I", answer, closed)
	}
	if answer, closed := dialSession(t, f); !closed || !strings.HasPrefix(answer, "ERROR BUSY") {
		t.Errorf("new session: got %q, closed %v, want BUSY and a close", answer, closed)
	}
}

// TestNoTransactionAfterMark guards against a transaction that begins on a
// session that is to end, and is then rolled back.
func TestNoTransactionAfterMark(t *testing.T) {
	f := newFixture(t)
	blocking := &blockingHomes{make(chan struct{}, 1), make(chan struct{}, 1)}
	f.e.cfg.Homes = blocking
	send, receive := openSession(t, f)
	send("READ x")
	<-blocking.arrived
	f.e.EndSessions(5)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		send("BEGIN")
	}()
	time.Sleep(20 * time.Millisecond) // the next statement arrives before the answer
	blocking.release <- struct{}{}
	if answer, closed := receive(); closed || !strings.Contains(answer, "DONE") {
		t.Errorf("statement in progress: got %q, closed %v, want its answer", answer, closed)
	}
	if answer, closed := receive(); !closed && !strings.HasPrefix(answer, "ERROR BUSY") {
		t.Errorf("begin on a session that is to end: got %q, want BUSY or a close", answer)
	}
	<-sent
}

// TestFinishSessions guards against the end of a planned stop that cuts the
// statement of a session, or waits for one that is idle in a transaction.
func TestFinishSessions(t *testing.T) {
	f := newFixture(t)
	blocking := &blockingHomes{make(chan struct{}, 4), make(chan struct{}, 4)}
	f.e.cfg.Homes = blocking
	blocking.release <- struct{}{}
	_, idle := f.openTx(t)
	<-blocking.arrived
	send, receive := openSession(t, f)
	send("READ x")
	<-blocking.arrived
	time.AfterFunc(100*time.Millisecond, func() {
		blocking.release <- struct{}{} // the statement in progress
		blocking.release <- struct{}{} // the rollback
	})
	go func() { // the answers are read while FinishSessions waits
		if answer, closed := receive(); closed || !strings.Contains(answer, "DONE") {
			t.Errorf("statement in progress: got %q, closed %v, want its answer", answer, closed)
		}
	}()
	const limit = 2 * time.Second
	begun := time.Now()
	f.e.FinishSessions(limit)
	if took := time.Since(begun); took > limit/2 || f.e.Sessions() != 0 {
		t.Errorf("end of all sessions: got %d after %v, want 0 within %v", f.e.Sessions(), took, limit/2)
	}
	if answer, closed := idle(); !closed {
		t.Errorf("idle transaction: got %q, want a close", answer)
	}
}

// slowRollback answers each statement, and a rollback only after it is released.
type slowRollback struct{ release chan struct{} }

func (h slowRollback) Run(_ context.Context, req *home.Request) home.Reply {
	if req.Statement.Kind == siskin.Rollback {
		<-h.release
	}
	return home.Reply{Outcome: home.Answered, Answer: siskin.Answer{Signature: "1"}, Tx: 1, Home: "vm"}
}

// TestCloseBeforeRollback guards against a request that is sent while a session,
// which has ended in a planned stop, still rolls its transaction back, and then
// gets no answer.
func TestCloseBeforeRollback(t *testing.T) {
	f := newFixture(t)
	homes := slowRollback{make(chan struct{})}
	f.e.cfg.Homes = homes
	_, receive := f.openTx(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.e.FinishSessions(5 * time.Second)
	}()
	began := time.Now()
	time.AfterFunc(500*time.Millisecond, func() { close(homes.release) })
	if got, closed := receive(); !closed {
		t.Errorf("got %q, want a close", got)
	}
	if took := time.Since(began); took > 250*time.Millisecond {
		t.Errorf("close: got it after %v, want it before the rollback has ended", took)
	}
	<-done
	if got := f.e.Sessions(); got != 0 {
		t.Errorf("open sessions: got %d, want 0", got)
	}
}
