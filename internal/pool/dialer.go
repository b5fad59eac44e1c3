package pool

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"siskintray.example/siskin"
)

// DialedConn is a new connection after its startup. It is idle.
type DialedConn struct {
	Conn      net.Conn
	ProcessID uint32
	Secret    []byte
}

// Dialer opens connections to targets.
type Dialer interface {
	Dial(ctx context.Context, key Key, cfg SlotConfig, account Account) (DialedConn, error)
	// Cancel asks the server at the address to cancel the statement in progress
	// on a connection, and returns when the server has forwarded the request.
	Cancel(ctx context.Context, address string, processID uint32, secret []byte) error
}

// PGDialer opens connections with pgconn.
type PGDialer struct {
	// TLS holds the TLS settings; nil means no TLS.
	TLS *tls.Config
	// Open replaces net.Dialer.DialContext if it is not nil.
	Open siskin.DialFunc

	base *pgconn.Config
}

// NewPGDialer returns a dialer that uses cfg for TLS, or no TLS if it is nil.
func NewPGDialer(cfg *tls.Config) (*PGDialer, error) {
	// A complete connection string prevents pgconn from reading settings from
	// the environment.
	base, err := pgconn.ParseConfig("host=127.0.0.1 port=1 user=none password=none dbname=none sslmode=disable")
	if err != nil {
		return nil, err
	}
	base.Fallbacks = nil
	return &PGDialer{TLS: cfg, base: base}, nil
}

// Dial implements Dialer.
func (d *PGDialer) Dial(ctx context.Context, key Key, cfg SlotConfig, account Account) (DialedConn, error) {
	host, portText, err := net.SplitHostPort(cfg.Address)
	if err != nil {
		return DialedConn{}, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return DialedConn{}, err
	}
	c := d.base.Copy()
	c.Host, c.Port, c.TLSConfig = host, uint16(port), d.TLS
	if d.Open != nil {
		c.DialFunc = pgconn.DialFunc(d.Open)
	}
	c.Database = cfg.Credentials.Database
	c.User, c.Password = cfg.Credentials.User, cfg.Credentials.Password
	c.RuntimeParams = map[string]string{
		"application_name": "siskintray",
		"siskin.slot":      strconv.Itoa(int(key.Slot)),
	}
	if account == ReadOnly {
		c.User, c.Password = cfg.Credentials.ReadUser, cfg.Credentials.ReadPassword
		c.RuntimeParams["default_transaction_read_only"] = "on"
	}
	conn, err := pgconn.ConnectConfig(ctx, c)
	if err != nil {
		return DialedConn{}, err
	}
	h, err := conn.Hijack()
	if err != nil {
		return DialedConn{}, err
	}
	return DialedConn{Conn: h.Conn, ProcessID: h.PID, Secret: h.SecretKey}, nil
}

// Cancel implements Dialer.
func (d *PGDialer) Cancel(ctx context.Context, address string, processID uint32, secret []byte) error {
	open := d.Open
	if open == nil {
		open = new(net.Dialer).DialContext
	}
	conn, err := open(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return SendCancel(ctx, conn, processID, secret)
}

// SendCancel sends a cancel request and closes conn.
func SendCancel(ctx context.Context, conn net.Conn, processID uint32, secret []byte) error {
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return err
		}
	}
	msg, err := (&pgproto3.CancelRequest{ProcessID: processID, SecretKey: secret}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err = conn.Write(msg); err != nil {
		return err
	}
	// The server closes the connection after it has forwarded the request.
	// After that, the request cannot reach a later statement.
	_, err = io.Copy(io.Discard, conn)
	return err
}
