package pgctl

import (
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// Dialer opens control connections with one service's credentials.
type Dialer struct {
	credentials config.Credentials
	timeout     time.Duration
	dial        siskin.DialFunc
}

// Option changes a Dialer.
type Option func(*Dialer)

// WithDial replaces the function that opens connections.
func WithDial(dial siskin.DialFunc) Option { return func(d *Dialer) { d.dial = dial } }

var _ siskin.TargetDialer = (*Dialer)(nil)

// NewDialer returns a dialer. A connection that does not open within timeout is
// given up; zero leaves the time to the context.
func NewDialer(credentials config.Credentials, timeout time.Duration, opts ...Option) *Dialer {
	d := &Dialer{credentials: credentials, timeout: timeout}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// DialTarget implements siskin.TargetDialer.
func (d *Dialer) DialTarget(ctx context.Context, id siskin.TargetID, address string) (siskin.Target, error) {
	if d.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.timeout)
		defer cancel()
	}
	cfg, err := d.config(address)
	if err != nil {
		return nil, err
	}
	conn, err := pgconn.ConnectConfig(ctx, cfg)
	if err != nil {
		return nil, wrapError("connect", id, err)
	}
	return newTarget(id, conn), nil
}

func (d *Dialer) config(address string) (*pgconn.Config, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, siskin.NewError(siskin.BadInput, "target address %q", address).
			WithRemedy("write it as IP number and port").WithCause(err)
	}
	// The settings are given in full, so that no environment variable or
	// password file of the process takes part.
	cfg, err := pgconn.ParseConfig("host=" + host + " port=" + port + " sslmode=disable user=x database=x passfile=''")
	if err != nil {
		return nil, siskin.NewError(siskin.BadInput, "target address %q", address).
			WithRemedy("write it as IP number and port").WithCause(err)
	}
	cfg.User, cfg.Password, cfg.Database = d.credentials.User, d.credentials.Password, d.credentials.Database
	cfg.RuntimeParams = map[string]string{"application_name": "siskintray-control"}
	cfg.Fallbacks = nil
	if d.dial != nil {
		cfg.DialFunc = pgconn.DialFunc(d.dial)
	}
	return cfg, nil
}
