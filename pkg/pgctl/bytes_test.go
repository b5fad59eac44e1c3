package pgctl_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/pgctl"
)

// countConn counts the bytes read and written.
type countConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// TestProbeBytes guards against probes that resend the statement text and the
// column names, which would multiply the traffic of monitoring.
func TestProbeBytes(t *testing.T) {
	servers, err := target.StartGroup("ledger", 3, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer target.CloseAll(servers)
	var n atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countConn{conn, &n}, err
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	c, err := pgctl.NewDialer(credentials, time.Second, pgctl.WithDial(dial)).DialTarget(ctx, "ledger/1", servers[0].Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	probe := func() {
		t.Helper()
		if _, err := c.Status(ctx); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Wait(ctx, siskin.Position{Term: 1}, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	probe()
	probe()
	before := n.Load()
	const probes = 10
	for range probes {
		probe()
	}
	got := (n.Load() - before) / (2 * probes)
	t.Logf("%d bytes a probe", got)
	if got > 256 {
		t.Errorf("got %d bytes a probe, want at most 256", got)
	}
}
