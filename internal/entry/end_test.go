package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/home"
	"siskintray.example/siskin/platform"
)

// blockingHomes answers each statement when the test releases it.
type blockingHomes struct{ arrived, release chan struct{} }

func (h *blockingHomes) Run(context.Context, *home.Request) home.Reply {
	h.arrived <- struct{}{}
	<-h.release
	return home.Reply{Outcome: home.Answered, Answer: siskin.Answer{Signature: "1"}, Tx: 1, Home: "vm"}
}

// openSession opens a session. It returns a function that sends a statement,
// and one that reads the lines of an answer and reports whether the session
// was closed.
func openSession(t *testing.T, f *fixture) (send func(string), receive func() (answer string, closed bool)) {
	t.Helper()
	write, receive := connect(t, f)
	write("START primary key")
	if answer, closed := receive(); closed {
		t.Fatalf("opening: got %q and a close, want READY", answer)
	}
	return func(statement string) { write("QUERY 1 " + statement) }, receive
}

// dialSession tries to open a session, and returns the answer.
func dialSession(t *testing.T, f *fixture) (answer string, closed bool) {
	t.Helper()
	write, receive := connect(t, f)
	write("START primary key")
	return receive()
}

// connect connects a caller. It returns functions that send a line, and that
// read the lines of an answer.
func connect(t *testing.T, f *fixture) (write func(string), receive func() (answer string, closed bool)) {
	t.Helper()
	caller, server := net.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	f.e.Serve(platform.NewCaller(server))
	r := bufio.NewReader(caller)
	receive = func() (string, bool) {
		_ = caller.SetReadDeadline(time.Now().Add(2 * time.Second))
		var answer strings.Builder
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return answer.String(), true
			}
			answer.WriteString(line)
			if strings.HasPrefix(line, "READY") {
				return answer.String(), false
			}
		}
	}
	return func(line string) {
		if _, err := fmt.Fprintf(caller, "%s\r\n", line); err != nil {
			t.Fatal(err)
		}
	}, receive
}

// TestEndBusySession guards against a planned stop that does not end a busy
// session after its statement, so that the next one is cut when the process
// exits.
func TestEndBusySession(t *testing.T) {
	f := newFixture(t)
	blocking := &blockingHomes{make(chan struct{}, 1), make(chan struct{}, 1)}
	f.e.cfg.Homes = blocking
	send, receive := openSession(t, f)
	send("READ x")
	<-blocking.arrived
	if got := f.e.EndSessions(5); got != 1 {
		t.Errorf("open sessions: got %d, want 1", got)
	}
	blocking.release <- struct{}{}
	if answer, closed := receive(); closed || !strings.Contains(answer, "DONE") {
		t.Errorf("statement in progress: got %q, closed %v, want its answer", answer, closed)
	}
	if answer, closed := receive(); !closed {
		t.Errorf("after the answer: got %q, want a close", answer)
	}
}

// TestEndSessionInTransaction guards against a planned stop that cuts an open
// transaction, also one that began while the session was asked to end.
func TestEndSessionInTransaction(t *testing.T) {
	f := newFixture(t)
	blocking := &blockingHomes{make(chan struct{}, 4), make(chan struct{}, 4)}
	f.e.cfg.Homes = blocking
	send, receive := openSession(t, f)
	for range 3 {
		blocking.release <- struct{}{}
	}
	for i, statement := range []string{"BEGIN", "READ x", "COMMIT"} {
		send(statement)
		if answer, closed := receive(); closed {
			t.Fatalf("%s: got %q and a close, want an answer", statement, answer)
		}
		if i == 0 {
			f.e.EndSessions(5)
			f.e.mu.Lock()
			for s := range f.e.sessions {
				s.c.Interrupt() // as if EndSessions had found the session idle
			}
			f.e.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
		}
	}
	if answer, closed := receive(); !closed {
		t.Errorf("after the transaction: got %q, want a close", answer)
	}
}

// panickingHomes panics on each statement.
type panickingHomes struct{}

func (panickingHomes) Run(context.Context, *home.Request) home.Reply { panic("panic of the test") }

// TestFaultEndsOneSession guards against a panic in one statement that ends
// the process and so the sessions of all callers.
func TestFaultEndsOneSession(t *testing.T) {
	f := newFixture(t)
	f.e.cfg.Homes = panickingHomes{}
	send, receive := openSession(t, f)
	other, answer := openSession(t, f)
	send("READ x")
	if got, closed := receive(); !closed {
		t.Errorf("session with the panic: got %q, want a close", got)
	}
	f.e.cfg.Homes = f.homes
	other("SET a b")
	if got, closed := answer(); closed || !strings.Contains(got, "DONE") {
		t.Errorf("other session: got %q, closed %v, want its answer", got, closed)
	}
	// The caller sees the close before the session has ended.
	for limit := time.Now().Add(time.Second); f.e.Sessions() > 1 && time.Now().Before(limit); {
		time.Sleep(time.Millisecond)
	}
	if got := f.e.Sessions(); got != 1 {
		t.Errorf("open sessions: got %d, want 1", got)
	}
}

// panickingRollback answers each statement, and panics on a rollback.
type panickingRollback struct{}

func (panickingRollback) Run(_ context.Context, req *home.Request) home.Reply {
	if req.Statement.Kind == siskin.Rollback {
		panic("panic of the test")
	}
	return home.Reply{Outcome: home.Answered, Answer: siskin.Answer{Signature: "1"}, Tx: 1, Home: "vm"}
}

// TestFaultInRollbackEndsOneSession guards against a panic in the rollback at the
// end of a session, after its statements, that ends the process.
func TestFaultInRollbackEndsOneSession(t *testing.T) {
	f := newFixture(t)
	f.e.cfg.Homes = panickingRollback{}
	send, receive := openSession(t, f)
	for _, statement := range []string{"BEGIN", "READ x"} {
		send(statement)
		if answer, closed := receive(); closed {
			t.Fatalf("%s: got %q and a close, want an answer", statement, answer)
		}
	}
	if err := f.e.Close(); err != nil {
		t.Fatal(err)
	}
	if got := f.e.Sessions(); got != 0 {
		t.Errorf("open sessions: got %d, want 0", got)
	}
}

// TestCloseDuringServe guards against a session that begins after Close has
// returned, and against a data race between the two.
func TestCloseDuringServe(t *testing.T) {
	for range 200 {
		f := newFixture(t)
		caller, server := net.Pipe()
		defer caller.Close()
		served := make(chan struct{})
		go func() {
			f.e.Serve(platform.NewCaller(server))
			close(served)
		}()
		if err := f.e.Close(); err != nil {
			t.Fatal(err)
		}
		if got := f.e.Sessions(); got != 0 {
			t.Fatalf("sessions after Close: got %d, want 0", got)
		}
		<-served
	}
}
