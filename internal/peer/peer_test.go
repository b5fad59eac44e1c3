package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/goleak"

	"siskintray.example/siskin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Echo is a receiver for tests.
type Echo struct{ running chan struct{} }

// Args are the arguments of Echo's methods.
type Args struct {
	Text string
	Wait time.Duration
}

// Do returns the text after a delay.
func (e *Echo) Do(args *Args, reply *string) error {
	if e.running != nil {
		e.running <- struct{}{}
	}
	time.Sleep(args.Wait)
	*reply = args.Text
	return nil
}

// Panic panics.
func (e *Echo) Panic(*Args, *string) error { panic("a fault on purpose") }

// Fail returns an error.
func (e *Echo) Fail(*Args, *string) error { return errors.New("failed on purpose") }

// startPair starts a server "b" and a client "a" of it.
func startPair(t testing.TB, server, client Config, echo *Echo) (*Server, *Client) {
	t.Helper()
	server.Self, client.Self = "b", "a"
	s, err := Listen(server, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Register("Echo", echo); err != nil {
		t.Fatal(err)
	}
	s.Serve()
	t.Cleanup(func() { s.Close() })
	c := NewClient(client, func(siskin.VMID) (string, bool) { return s.Address(), true })
	t.Cleanup(func() { c.Close() })
	return s, c
}

func call(c *Client, vm siskin.VMID, method string, args *Args, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply string
	err := c.Call(ctx, vm, method, args, &reply)
	return reply, err
}

// TestCalls guards against responses that reach the wrong call, calls that
// outlive their deadline, messages above the size limit, and calls that reach
// another VM which took over the address.
func TestCalls(t *testing.T) {
	limits := Config{MaxMessage: 1000}
	_, c := startPair(t, limits, limits, &Echo{})
	for _, tt := range []struct {
		vm     siskin.VMID
		method string
		args   Args
		want   string
	}{
		{"b", "Echo.Do", Args{Text: "x"}, "x"},
		{"b", "Echo.Do", Args{Text: "late", Wait: 200 * time.Millisecond}, "Unavailable"},
		{"b", "Echo.Do", Args{Text: "y"}, "y"},
		{"b", "Echo.Fail", Args{}, "Internal"},
		{"b", "Echo.Missing", Args{}, "Internal"},
		{"b", "Echo.Do", Args{Text: strings.Repeat("x", 1000)}, "TooLarge"},
		{"c", "Echo.Do", Args{Text: "x"}, "Unavailable"},
	} {
		got, err := call(c, tt.vm, tt.method, &tt.args, 100*time.Millisecond)
		if err != nil {
			got = siskin.KindOf(err).String()
		}
		if got != tt.want {
			t.Errorf("%s at %s: got %s (%v), want %s", tt.method, tt.vm, got, err, tt.want)
		}
	}
}

// TestSilentConnection guards against a connection that stays in use after it
// became unresponsive, and against one that is closed because a handler is slow.
func TestSilentConnection(t *testing.T) {
	t.Parallel()
	var links Links
	cfg := Config{Drop: links.Drop}
	_, c := startPair(t, cfg, cfg, &Echo{})
	if _, err := call(c, "b", "Echo.Do", &Args{Wait: 4 * time.Second}, 5*time.Second); err != nil {
		t.Errorf("slow handler: got %v, want success", err)
	}
	links.CutOneWay("b", "a")
	start := time.Now()
	_, err := call(c, "b", "Echo.Do", &Args{}, 10*time.Second)
	if took := time.Since(start); siskin.KindOf(err) != siskin.Unavailable || took > 3*time.Second {
		t.Errorf("unresponsive connection: got %v after %v, want Unavailable within 3 s", err, took)
	}
	links.Heal()
	if got, err := call(c, "b", "Echo.Do", &Args{Text: "x"}, 3*time.Second); got != "x" {
		t.Errorf("after the link is restored: got %q (%v), want x", got, err)
	}
}

// TestIdle guards against idle connections that are never closed.
func TestIdle(t *testing.T) {
	cfg := Config{KeepaliveTimeout: 80 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}
	s, c := startPair(t, cfg, cfg, &Echo{})
	for range 2 {
		if _, err := call(c, "b", "Echo.Do", &Args{}, time.Second); err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
	}
	if got := c.Stats().Connections + s.Stats().Connections; got != 0 {
		t.Errorf("connections after the idle time: got %d, want 0", got)
	}
}

// TestConcurrency guards against a peer that makes this VM run an unbounded
// number of handlers, and against a busy VM that is treated as unresponsive.
func TestConcurrency(t *testing.T) {
	echo := &Echo{running: make(chan struct{}, 100)}
	s, c := startPair(t, Config{MaxConcurrent: 2, MaxQueued: 3}, Config{KeepaliveTimeout: 100 * time.Millisecond}, echo)
	const calls = 20
	results := make(chan error, calls)
	for range calls {
		go func() {
			_, err := call(c, "b", "Echo.Do", &Args{Wait: 300 * time.Millisecond}, 5*time.Second)
			results <- err
		}()
	}
	succeeded := 0
	for range calls {
		if err := <-results; err == nil {
			succeeded++
		}
	}
	if ran := len(echo.running); succeeded != ran || ran > 6 || ran < 2 {
		t.Errorf("got %d successes of %d handlers, want the same number, at most 6", succeeded, ran)
	}
	if got := s.Stats().Refused; got == 0 {
		t.Error("refused requests: got 0, want more")
	}
	if got := c.Stats().Unresponsive; got != 0 {
		t.Errorf("connections closed as unresponsive: got %d, want 0", got)
	}
}

// TestTLS guards against peers without a certificate of the fleet, and against
// plaintext connections outside of loopback.
func TestTLS(t *testing.T) {
	fleet := testTLS(t)
	withoutCertificate := fleet.Clone()
	withoutCertificate.Certificates = nil
	for _, tt := range []struct {
		name string
		cfg  *tls.Config
		ok   bool
	}{{"fleet", fleet, true}, {"no certificate", withoutCertificate, false}, {"plain", nil, false}} {
		_, c := startPair(t, Config{TLS: fleet}, Config{TLS: tt.cfg, DialTimeout: 500 * time.Millisecond}, &Echo{})
		_, err := call(c, "b", "Echo.Do", &Args{}, time.Second)
		if got := err == nil; got != tt.ok {
			t.Errorf("%s: got %v, want success %v", tt.name, err, tt.ok)
		}
	}
	if _, err := Listen(Config{}, "0.0.0.0:0"); siskin.KindOf(err) != siskin.BadInput {
		t.Errorf("plaintext listener on all addresses: got %v, want BadInput", err)
	}
}

// FuzzFrame guards against frames that crash the parser, and frames that change
// when they are encoded and parsed again.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{2, 1, 1, 'x', '{', '}'})
	f.Add([]byte{2, 1, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		decoded, err := parseFrame(b)
		if err != nil {
			return
		}
		reencoded, err := parseFrame(decoded.encode()[4:])
		if err != nil || reencoded.seq != decoded.seq || reencoded.method != decoded.method || string(reencoded.body) != string(decoded.body) {
			t.Errorf("got %v (%v), want %v", reencoded, err, decoded)
		}
	})
}

func BenchmarkCall(b *testing.B) {
	_, c := startPair(b, Config{}, Config{}, &Echo{})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := call(c, "b", "Echo.Do", &Args{Text: "x"}, time.Second); err != nil {
			b.Fatal(err)
		}
	}
}

// TestPanicInHandler guards against a handler panic that ends the process, or
// that leaves the caller without a response until its deadline.
func TestPanicInHandler(t *testing.T) {
	var lines bytes.Buffer
	s, c := startPair(t, Config{Log: &log.Logger{Writer: &log.IOWriter{Writer: &lines}}}, Config{}, &Echo{})
	start := time.Now()
	if _, err := call(c, "b", "Echo.Panic", &Args{}, 5*time.Second); err == nil || time.Since(start) > time.Second {
		t.Errorf("call of a handler that panics: got %v after %v, want an error at once", err, time.Since(start))
	}
	if got, err := call(c, "b", "Echo.Do", &Args{Text: "next"}, time.Second); err != nil || got != "next" {
		t.Errorf("next call: got %q, %v, want next", got, err)
	}
	if got := s.Panics(); got != 1 || !strings.Contains(lines.String(), "a fault on purpose") {
		t.Errorf("panics: got %d counted and the log %.200q, want one with its cause", got, lines.String())
	}
}
