package front

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// rawClient exchanges single protocol messages with a VM.
type rawClient struct {
	tb   testing.TB
	conn net.Conn
	fe   *pgproto3.Frontend
	key  pgproto3.BackendKeyData
}

func (vm *testVM) connectRaw(tb testing.TB, database string) *rawClient {
	tb.Helper()
	c := vm.dialRaw(tb)
	c.fe.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "any", "database": database},
	})
	c.flush()
	for {
		switch msg := c.receive().(type) {
		case *pgproto3.AuthenticationCleartextPassword:
			c.fe.Send(&pgproto3.PasswordMessage{Password: testKey})
			c.flush()
		case *pgproto3.BackendKeyData:
			c.key = *msg
		case *pgproto3.ReadyForQuery:
			return c
		case *pgproto3.ErrorResponse:
			tb.Fatalf("start-up refused: %s %s", msg.Code, msg.Message)
		}
	}
}

func (vm *testVM) dialRaw(tb testing.TB) *rawClient {
	tb.Helper()
	conn, err := net.Dial("tcp", vm.address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &rawClient{tb: tb, conn: conn, fe: pgproto3.NewFrontend(conn, conn)}
}

func (c *rawClient) flush() {
	c.tb.Helper()
	if err := c.fe.Flush(); err != nil {
		c.tb.Fatal(err)
	}
}

func (c *rawClient) receive() pgproto3.BackendMessage {
	c.tb.Helper()
	msg, err := c.fe.Receive()
	if err != nil {
		c.tb.Fatal(err)
	}
	return msg
}

// rawAnswer holds the messages received up to ReadyForQuery or the end of the
// connection.
type rawAnswer struct {
	types  string // type bytes of the received messages, without rows
	values []string
	err    *pgproto3.ErrorResponse
	status byte // of ReadyForQuery, zero when the connection ended
}

// exchange sends the messages and reads one answer.
func (c *rawClient) exchange(msgs ...pgproto3.FrontendMessage) rawAnswer {
	c.tb.Helper()
	for _, m := range msgs {
		c.fe.Send(m)
	}
	c.flush()
	return c.read()
}

func (c *rawClient) read() rawAnswer {
	var a rawAnswer
	for {
		msg, err := c.fe.Receive()
		if err != nil {
			return a
		}
		switch msg := msg.(type) {
		case *pgproto3.DataRow:
			for _, v := range msg.Values {
				a.values = append(a.values, string(v))
			}
		case *pgproto3.ErrorResponse:
			e := *msg
			a.err = &e
			a.types += "E"
		case *pgproto3.CommandComplete:
			a.types += "C"
		case *pgproto3.ParseComplete:
			a.types += "1"
		case *pgproto3.BindComplete:
			a.types += "2"
		case *pgproto3.CloseComplete:
			a.types += "3"
		case *pgproto3.ParameterStatus:
			a.types += "S"
		case *pgproto3.ReadyForQuery:
			a.types += "Z"
			a.status = msg.TxStatus
			return a
		}
	}
}

func (c *rawClient) query(sql string) rawAnswer {
	c.tb.Helper()
	return c.exchange(&pgproto3.Query{String: sql})
}

func (a rawAnswer) code() string {
	if a.err == nil {
		return ""
	}
	return a.err.Code
}
