package front

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
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

// FuzzFrontendMessages guards against a panic, a hang or an unbounded buffer on
// messages of a caller. No target is known, so each batch is refused.
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
	service := &config.Service{Name: "badges", Routes: []config.Route{{
		Name: "open", Mode: config.ReadRoute, Open: true, OpenCustomer: "walk-in", Deadline: config.Duration(time.Millisecond),
	}}}
	tokens, err := token.NewCodec([]byte("a token key of 24 bytes."), nil)
	if err != nil {
		f.Fatal(err)
	}
	s := New(Config{
		VM: "vm", Clock: clockwork.NewRealClock(), Config: config.NewFixed([]*config.Service{service}, nil), Keys: newFakeKeys(),
		Topology: noTopology{}, Tokens: tokens, Budgets: retry.NewBudgets(), Limits: Limits{StartupTimeout: time.Second},
	})
	f.Cleanup(func() { s.Close(f.Context()) })
	f.Fuzz(func(t *testing.T, messages []byte) {
		client, server := net.Pipe()
		done := make(chan struct{})
		go s.serveConn(server, func() { close(done) })
		go func() { _, _ = io.Copy(io.Discard, client) }()
		start, _ := (&pgproto3.StartupMessage{
			ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "a", "database": "badges/open"},
		}).Encode(nil)
		_, _ = client.Write(start)
		_, _ = client.Write(messages) // ends when the server hangs up
		_ = client.Close()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("the session did not end with its connection")
		}
	})
}

// noTopology knows no group.
type noTopology struct{}

func (noTopology) View(siskin.ServiceName) (siskin.GroupView, <-chan struct{}, bool) {
	return siskin.GroupView{}, nil, false
}

func (noTopology) Home(config.Target, siskin.Slot) (siskin.VM, bool, bool) {
	return siskin.VM{}, false, false
}

func (noTopology) DataCentre() siskin.DataCentreID { return "" }
