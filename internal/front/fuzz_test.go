package front

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
	"siskintray.example/siskin/internal/relay"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/retry"
	"siskintray.example/siskin/pkg/token"
)

// FuzzStartup guards against a panic or a hang on a malformed start-up packet.
func FuzzStartup(f *testing.F) {
	start, _ := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "a", "database": "badges/read", "options": `-c siskintray.token=x\ y --a=b`},
	}).Encode(nil)
	f.Add(start[4:])
	f.Add([]byte{0, 3, 0, 0, 'a', 0})
	f.Fuzz(func(_ *testing.T, body []byte) {
		if len(body) < 4 {
			return
		}
		p := startupPacket(body)
		p.cancel()
		if params, err := p.parameters(); err == nil {
			_, _ = parseOptions(params["options"])
		}
	})
}

// FuzzFrontendMessages guards against a panic, a hang or unbounded buffering on
// messages of a caller. There is no target, so each batch is refused.
func FuzzFrontendMessages(f *testing.F) {
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Query{String: "SET siskintray.route = 'read'"}, &pgproto3.Parse{Name: "a", Query: "select 1"},
		&pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Describe{ObjectType: 'S', Name: "a"},
		&pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Execute{}, &pgproto3.Sync{}, &pgproto3.CopyData{},
	} {
		b, _ := m.Encode(nil)
		f.Add(b)
	}
	f.Add([]byte{'B', 0, 0, 0, 4, 'S', 0, 0, 0, 4})
	f.Add([]byte{'P', 0xff, 0xff, 0xff, 0xff})
	s := newFuzzServer(f)
	f.Fuzz(func(t *testing.T, messages []byte) {
		client, server := net.Pipe()
		done := make(chan struct{})
		go s.serveConn(server, func() { close(done) })
		go func() { _, _ = io.Copy(io.Discard, client) }()
		start, _ := (&pgproto3.StartupMessage{
			ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "a", "database": "badges/open"},
		}).Encode(nil)
		_, _ = client.Write(start)
		_, _ = client.Write(messages) // returns when the server closes the connection
		_ = client.Close()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("the session did not end with its connection")
		}
	})
}

// newFuzzServer returns a server without targets and with one open route.
func newFuzzServer(f *testing.F) *Server {
	service := &config.Service{Name: "badges", Routes: []config.Route{{
		Name: "open", Mode: config.ReadRoute, Open: true, OpenCustomer: "walk-in", Deadline: config.Duration(time.Millisecond),
	}}}
	tokens, err := token.NewCodec([]byte("a token key of 24 bytes."), nil)
	if err != nil {
		f.Fatal(err)
	}
	s := New(Config{
		VM: "vm", Clock: clockwork.NewRealClock(), Config: config.NewStaticView([]*config.Service{service}, nil), Keys: newFakeKeys(),
		Topology: noTopology{}, Tokens: tokens, Budgets: retry.NewBudgets(), Limits: Limits{StartupTimeout: time.Second},
	})
	f.Cleanup(func() { s.Close(f.Context()) })
	return s
}

// fuzzSession returns a session without a connection that reads the messages.
func fuzzSession(s *Server, messages []byte) *session {
	c := newSession(s, nil)
	c.r, c.w = frame.NewReader(bytes.NewReader(messages)), frame.NewWriter(io.Discard)
	c.service = "badges"
	return c
}

// FuzzKeyMessage guards against a panic on a malformed answer to the request
// for the key, and against accepting such an answer as a key.
func FuzzKeyMessage(f *testing.F) {
	for _, key := range []string{testKey, "", strings.Repeat("x", maxKeySize)} {
		b, _ := (&pgproto3.PasswordMessage{Password: key}).Encode(nil)
		f.Add(b)
	}
	f.Add([]byte{'p', 0, 0, 0, 4})
	f.Add([]byte{'Q', 0, 0, 0, 4})
	s := newFuzzServer(f)
	f.Fuzz(func(t *testing.T, message []byte) {
		grant, err := fuzzSession(s, message).askKey()
		if accepted := bytes.Contains(message, []byte(testKey)); err == nil && !accepted || err != nil && grant != (siskin.KeyGrant{}) {
			t.Errorf("got the grant %+v and %v", grant, err)
		}
	})
}

// FuzzForward guards against a panic on messages of a target or of a home on
// another VM, and against a session that accepts a position without a signed
// token.
func FuzzForward(f *testing.F) {
	s := newFuzzServer(f)
	signed := s.cfg.Tokens.Encode(token.Token{Service: "badges", Position: siskin.Position{Term: 2, LSN: 7}})
	for _, m := range []pgproto3.BackendMessage{
		&pgproto3.ParameterStatus{Name: relay.TokenParameter, Value: signed}, &pgproto3.ParameterStatus{Name: relay.TokenParameter, Value: "x"},
		&pgproto3.ParameterStatus{Name: "TimeZone", Value: "UTC"}, &pgproto3.ParseComplete{}, &pgproto3.DataRow{Values: [][]byte{nil}},
	} {
		b, _ := m.Encode(nil)
		f.Add(b)
	}
	f.Add([]byte{'S', 0, 0, 0, 4, 'D', 0, 0, 1, 0, 'x'})
	f.Fuzz(func(t *testing.T, answer []byte) {
		c := fuzzSession(s, nil)
		_ = c.stmts.parse("a", []byte("select 1\x00\x00\x00"))
		r := frame.NewReader(bytes.NewReader(answer))
		for {
			h, err := r.Next()
			if err == nil {
				err = c.Forward(h, r)
			}
			if err != nil {
				break
			}
		}
		if c.floor != (siskin.Position{}) && !bytes.Contains(answer, []byte(signed)) {
			t.Errorf("got the position %v without its token", c.floor)
		}
	})
}

// noTopology is a Topology without groups.
type noTopology struct{}

func (noTopology) View(siskin.ServiceName) (siskin.GroupView, <-chan struct{}, bool) {
	return siskin.GroupView{}, nil, false
}

func (noTopology) Home(config.Target, siskin.Slot) (siskin.VM, bool, bool) {
	return siskin.VM{}, false, false
}

func (noTopology) DataCentre() siskin.DataCentreID { return "" }
