package netem

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"siskintray.example/siskin"
)

const delay = 20 * time.Millisecond

// TestMain guards against copying goroutines that outlive their network.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo starts a server that returns each byte and a network that knows it as
// host "b" in data centre "dc-b".
func echo(t *testing.T) (*Network, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := New(func(_, _ siskin.DataCentreID) time.Duration { return delay })
	n.Place(l.Addr().String(), "b", "dc-b")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
		_ = n.Close()
	})
	return n, l.Addr().String()
}

// roundTrip sends a byte and returns how long its return took.
func roundTrip(t *testing.T, c net.Conn, limit time.Duration) (time.Duration, error) {
	t.Helper()
	start := time.Now()
	if err := c.SetDeadline(start.Add(limit)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write([]byte{1}); err != nil {
		return 0, err
	}
	_, err := c.Read(make([]byte, 1))
	return time.Since(start), err
}

// TestLinkDelaysAndFaults guards against experiments that measure links
// without their delay, and against faults that do not take effect.
func TestLinkDelaysAndFaults(t *testing.T) {
	n, address := echo(t)
	c, err := n.Dialer("a", "dc-a").DialContext(context.Background(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()

	got, err := roundTrip(t, c, time.Second)
	if want := 2 * delay; err != nil || got < want {
		t.Fatalf("round trip: got %v, %v, want at least %v", got, err, want)
	}

	n.Cut("dc-a", "b")
	if _, err := roundTrip(t, c, 5*delay); err == nil {
		t.Fatalf("round trip over a cut link: got no error, want a timeout")
	}
	n.Heal("dc-a", "b")
	if _, err := roundTrip(t, c, time.Second); err != nil {
		t.Fatalf("round trip after Heal: got %v, want success", err)
	}

	if got, want := n.Silence("b", "clients"), 1; got != want {
		t.Fatalf("Silence: got %d connections, want %d", got, want)
	}
	if _, err := roundTrip(t, c, 5*delay); err == nil {
		t.Fatalf("round trip on a silent connection: got no error, want a timeout")
	}
}
