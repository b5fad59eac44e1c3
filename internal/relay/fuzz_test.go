package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/invar"
	"siskintray.example/siskin/pkg/token"
)

// scriptedConn returns prepared bytes, whatever is written to it.
type scriptedConn struct{ io.Reader }

func (scriptedConn) Write(b []byte) (int, error)      { return len(b), nil }
func (scriptedConn) Close() error                     { return nil }
func (scriptedConn) LocalAddr() net.Addr              { return nil }
func (scriptedConn) RemoteAddr() net.Addr             { return nil }
func (scriptedConn) SetDeadline(time.Time) error      { return nil }
func (scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// scriptedDialer opens connections that return its bytes.
type scriptedDialer []byte

func (d scriptedDialer) Dial(context.Context, pool.Key, pool.SlotConfig, pool.Account) (pool.DialedConn, error) {
	return pool.DialedConn{Conn: scriptedConn{bytes.NewReader(d)}}, nil
}

func (scriptedDialer) Cancel(context.Context, string, uint32, []byte) error { return nil }

// permissive admits, queues and confirms every request immediately.
type permissive struct{}

func (permissive) Group(siskin.ServiceName) (siskin.Group, bool)  { return permissive{}, true }
func (permissive) Changed() <-chan struct{}                       { return nil }
func (permissive) Confirm(context.Context, siskin.Position) error { return nil }
func (permissive) Floor(context.Context) (siskin.Position, error) { return siskin.Position{}, nil }
func (permissive) ReportFailure(siskin.TargetID, error)           {}
func (permissive) Queue(siskin.TargetID, siskin.Slot) Queue       { return permissive{} }
func (permissive) Admit(time.Time, siskin.CustomerID, siskin.Requests) siskin.Admission {
	return siskin.Admission{Admitted: true}
}

func (permissive) AdmitWait(context.Context, siskin.CustomerID, siskin.Requests) siskin.Admission {
	return siskin.Admission{Admitted: true}
}

func (permissive) AdmitWrite(context.Context) (siskin.TargetID, siskin.Term, func(), error) {
	return "s/1", 1, func() {}, nil
}

func (permissive) Acquire(context.Context, siskin.CustomerID, int, time.Time) (func(), error) {
	return func() {}, nil
}

func (permissive) View() siskin.GroupView {
	status := siskin.TargetStatus{ID: "s/1", Role: siskin.RolePrimary, StreamTerm: 1, LastTerm: 1}
	return siskin.GroupView{Term: 1, Primary: "s/1", Targets: []siskin.TargetView{{Status: status, Reachable: true}}}
}

var fuzzKey = pool.Key{Target: "s/1"}

// scriptedHome returns a home whose only target answers with the bytes.
func scriptedHome(f interface{ Cleanup(func()) }, answer []byte) *Home {
	service := &config.Service{Name: "s", Routes: []config.Route{
		{Name: "write", Mode: config.WriteRoute}, {Name: "read", Mode: config.ReadRoute},
	}}
	clock := clockwork.NewRealClock()
	p := pool.New(clock, scriptedDialer(answer))
	f.Cleanup(func() { closePool(p) })
	p.Own(fuzzKey, pool.SlotConfig{Limit: 2})
	return (&Home{
		Clock: clock, Config: config.NewStaticView([]*config.Service{service}, nil), Groups: permissive{}, Limiter: permissive{}, Queues: permissive{}, Pool: p,
	}).Init()
}

func closePool(p *pool.Pool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	p.Close(ctx)
}

// discard is a Sink that discards the answer.
type discard struct{ *frame.Writer }

func (d discard) Forward(h frame.Header, r *frame.Reader) error { return d.Copy(h, r) }
func (d discard) SendToken(siskin.Position) error               { return nil }

func (d discard) SendMessage(typ byte, body []byte) error {
	if err := d.Header(frame.Header{Type: typ, Len: len(body)}); err != nil {
		return err
	}
	return d.Raw(body)
}

func encodeAll(msgs ...frame.Message) []byte {
	var b []byte
	for _, m := range msgs {
		b, _ = m.Encode(b)
	}
	return b
}

func panicOnViolation(f *testing.F) {
	f.Cleanup(invar.OnViolation(func(name, detail string) { panic(name + ": " + detail) }))
}

// FuzzAnswer guards against a panic, a hang or a connection that stays in use
// after a malformed answer from a target, or from the home on another VM.
func FuzzAnswer(f *testing.F) {
	panicOnViolation(f)
	row := &pgproto3.DataRow{Values: [][]byte{[]byte("1"), []byte("0/10")}}
	done, ready := &pgproto3.CommandComplete{CommandTag: []byte("COMMIT")}, &pgproto3.ReadyForQuery{TxStatus: 'I'}
	failure := unknownOutcome(nil, "lost")
	for _, answer := range [][]byte{
		encodeAll(done, ready, row, done, ready),
		encodeAll(&pgproto3.ParseComplete{}, row, done, row, done, &pgproto3.ReadyForQuery{TxStatus: 'T'}, row, done, ready),
		encodeAll(&pgproto3.ErrorResponse{Code: "25006"}, ready, row, done, ready, row, done, ready),
		encodeAll(&pgproto3.CopyInResponse{}, done, ready, row, done, ready),
		encodeAll(&pgproto3.ParameterStatus{Name: TokenParameter, Value: "x"}, failure, ready),
		{'Z', 0, 0, 0, 4},
		{'D', 0, 0, 0, 6, 0xff, 0xff, 'Z', 0, 0, 0, 5, 'I'},
	} {
		for kind := range byte(3) {
			f.Add(kind, answer)
		}
	}
	f.Fuzz(func(t *testing.T, kind byte, answer []byte) {
		h := scriptedHome(t, answer)
		executor := beginFuzz(t, h, kind%3)
		if executor == nil {
			return
		}
		sink := discard{frame.NewWriter(io.Discard)}
		for {
			if err := executor.Send(encodeQuery("select 1"), true); err != nil {
				executor.Abort(err)
				break
			}
			res, failure := executor.RelayAnswer(sink, true, nil)
			for failure == nil && res.CopyIn {
				res, failure = executor.RelayAnswer(sink, false, func() {})
			}
			if failure != nil {
				failure.Check()
				break
			}
			if res.Status == 'I' {
				executor.Finish()
				break
			}
		}
		for start := time.Now(); h.Pool.Stats()[fuzzKey].Busy > 0; time.Sleep(100 * time.Microsecond) {
			if time.Since(start) > 5*time.Second {
				t.Fatal("connection still in use 5 s after the end of the transaction")
			}
		}
	})
}

// beginFuzz begins a write, a read, or a transaction at the home of another VM.
// It returns nil if the transaction cannot begin with these bytes.
func beginFuzz(t *testing.T, h *Home, kind byte) Executor {
	hdr := &Header{Service: "s", Target: "s/1", Request: 1, Remaining: 5 * time.Second, Route: "write"}
	switch kind {
	case 1:
		hdr.Route = "read"
	case 2:
		conn, err := h.Pool.Get(t.Context(), fuzzKey, pool.Full, 1)
		if err != nil {
			t.Fatal(err)
		}
		return &remoteExecutor{conn: conn, home: "vm", request: 1}
	}
	executor, failure := h.Begin(hdr)
	if failure != nil {
		failure.Check()
		return nil
	}
	return executor
}

// FuzzPeerConn guards against a panic or a hang on messages from a VM that
// forwards transactions.
func FuzzPeerConn(f *testing.F) {
	panicOnViolation(f)
	header := &Header{Service: "s", Route: "write", Target: "s/1", Request: 1, Remaining: time.Second}
	query := &pgproto3.Query{String: "select 1"}
	f.Add(encodeAll(header, query, header, query))
	f.Add(encodeAll(header, &pgproto3.Parse{Query: "select 1"}, &pgproto3.Flush{}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	f.Add(encodeAll(query, &pgproto3.CopyData{Data: []byte("x")}, &Header{Service: "s", Route: "none"}, query))
	f.Add([]byte{headerType, 0, 0, 0, 4, 'Q', 0xff, 0xff, 0xff, 0xff})
	tokens, err := token.NewCodec([]byte("a token key of 24 bytes."), nil)
	if err != nil {
		f.Fatal(err)
	}
	position := &pgproto3.DataRow{Values: [][]byte{[]byte("1"), []byte("0/10")}}
	done, ready := &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'}
	s := NewServer(scriptedHome(f, encodeAll(done, ready, position, done, ready)), tokens, nil)
	f.Cleanup(func() { s.Close(context.Background()) })
	start := encodeAll(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": peerUser}})
	f.Fuzz(func(t *testing.T, messages []byte) {
		client, server := net.Pipe()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.ServeConn(server)
		}()
		go func() { _, _ = io.Copy(io.Discard, client) }()
		_, _ = client.Write(start)
		_, _ = client.Write(messages) // returns when the server closes the connection
		_ = client.Close()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("connection still served 10 s after the peer closed it")
		}
	})
}
