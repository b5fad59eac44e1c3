package pool

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/invar"
)

func TestMain(m *testing.M) {
	invar.OnViolation(func(name, detail string) { panic(name + ": " + detail) })
	goleak.VerifyTestMain(m)
}

var key = Key{Target: "badges/1", Slot: 0}

// faultyDialer wraps connections so that tests can discard all data received on
// older ones, and can make openings fail.
type faultyDialer struct {
	*PGDialer
	muteUpTo atomic.Int64
	fail     atomic.Bool
	panics   atomic.Bool // Dial and reads panic
	full     atomic.Bool
	opens    atomic.Int64
}

func (d *faultyDialer) Dial(ctx context.Context, key Key, cfg SlotConfig, account Account) (DialedConn, error) {
	n := d.opens.Add(1)
	if d.panics.Load() {
		panic("a fault on purpose")
	}
	if d.full.Load() {
		return DialedConn{}, &pgconn.PgError{Code: sqlstateTooMany}
	}
	if d.fail.Load() {
		return DialedConn{}, errors.New("refused")
	}
	o, err := d.PGDialer.Dial(ctx, key, cfg, account)
	o.Conn = mutedConn{o.Conn, d, n}
	return o, err
}

type mutedConn struct {
	net.Conn
	dialer  *faultyDialer
	opening int64
}

func (c mutedConn) Read(b []byte) (int, error) {
	if c.dialer.panics.Load() {
		panic("a fault on purpose")
	}
	for {
		n, err := c.Conn.Read(b)
		if n == 0 || c.opening > c.dialer.muteUpTo.Load() {
			return n, err
		}
	}
}

type fixture struct {
	*Pool
	target         *target.Server
	dialer         *faultyDialer
	cfg            SlotConfig
	failureReports atomic.Int64
}

func newFixture(t *testing.T, limit int) *fixture {
	t.Helper()
	servers, err := target.StartGroup("badges", 1, func(c *target.Config) { c.ConnectionsPerSlot = limit })
	if err != nil {
		t.Fatal(err)
	}
	d, err := NewPGDialer(nil)
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{target: servers[0], dialer: &faultyDialer{PGDialer: d}}
	f.cfg = SlotConfig{Address: servers[0].Address(), Limit: limit, Credentials: config.Credentials{
		User: "siskin", Password: "full-secret", ReadUser: "siskin_read", ReadPassword: "read-secret", Database: "app",
	}}
	f.Pool = New(clockwork.NewRealClock(), f.dialer, WithFailure(func(siskin.TargetID, error) { f.failureReports.Add(1) }))
	f.Own(key, f.cfg)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		f.Close(ctx)
		_ = target.CloseAll(servers)
	})
	return f
}

func (f *fixture) get(t *testing.T, account Account, owner uint64) *Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	c, err := f.Get(ctx, key, account, owner)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func getEventually(t *testing.T, f *fixture) *Conn {
	t.Helper()
	for range 200 {
		if c, err := f.Get(context.Background(), key, Full, 99); err == nil {
			return c
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no connection within 2 s after the fault: %+v", f.Stats()[key])
	return nil
}

// roundTrip runs a statement and reports whether it succeeded and the target then
// reported the idle status.
func (c *Conn) roundTrip(query []byte, timeout time.Duration) bool {
	return c.simpleQuery(query, timeout, func(typ byte, _ []byte) bool { return typ != 'E' })
}
