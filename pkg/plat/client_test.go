package plat

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/objapi"
)

// TestMain fixes the seed of randomized tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "50")
	goleak.VerifyTestMain(m)
}

func startClient(t *testing.T, cfg Config, opts ...Option) (*objapi.Server, *Client) {
	t.Helper()
	s, err := objapi.Start(objapi.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	cfg.Addresses = append(cfg.Addresses, s.Address())
	setDefault(&cfg.CallsPerSecond, 1000)
	c, err := New(cfg, opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return s, c
}

func timeoutContext(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// hookClock runs a function whenever the client waits before a retry.
type hookClock struct {
	siskin.Clock
	hook func()
}

func (c *hookClock) After(d time.Duration) <-chan time.Time {
	c.hook()
	return c.Clock.After(d)
}

// TestLostResponse guards against reporting an applied update as a conflict, or
// an update that was not applied as successful, when the response was lost and
// other writers updated the object before the retry.
func TestLostResponse(t *testing.T) {
	for _, tt := range []struct {
		laterWriters int
		want         string
	}{
		{0, "Version 2"},
		{3, "Version 2"},
		{20, "OutcomeUnknown"}, // the operation id is no longer listed
	} {
		clock := &hookClock{Clock: clockwork.NewRealClock(), hook: func() {}}
		s, c := startClient(t, Config{}, WithClock(clock))
		ctx := timeoutContext(t, 5*time.Second)
		if _, err := c.Put(ctx, "A", []byte("x"), 0, "op-1"); err != nil {
			t.Fatal(err)
		}
		clock.hook = func() {
			clock.hook = func() {}
			for i := range tt.laterWriters {
				if _, err := c.Put(ctx, "A", []byte("y"), siskin.Version(i+2), siskin.OperationID(fmt.Sprint("late-", i))); err != nil {
					t.Error(err)
				}
			}
		}
		s.LoseNext(1)
		v, err := c.Put(ctx, "A", []byte("x"), 1, "op-2")
		got := fmt.Sprint("Version ", v)
		if err != nil {
			got = siskin.KindOf(err).String()
		}
		if got != tt.want {
			t.Errorf("%d later writers: got %s, want %s", tt.laterWriters, got, tt.want)
		}
	}
}

// TestStalledConnections guards against calls and watches that keep waiting on
// stalled connections while new connections work.
func TestStalledConnections(t *testing.T) {
	t.Parallel()
	s, c := startClient(t, Config{})
	ctx := timeoutContext(t, 10*time.Second)
	if _, err := c.Put(ctx, "A", nil, 0, "op-1"); err != nil {
		t.Fatal(err)
	}
	watched := make(chan error, 1)
	go func() {
		_, err := c.Watch(ctx, "A", 1)
		watched <- err
	}()
	time.Sleep(50 * time.Millisecond)
	s.SilenceOpen()
	begun := time.Now()
	if _, err := c.Put(ctx, "A", nil, 1, "op-2"); err != nil {
		t.Fatal(err)
	}
	if err := <-watched; err != nil {
		t.Fatal(err)
	}
	if got := time.Since(begun); got > 3*time.Second {
		t.Errorf("recovery from stalled connections: got %v, want at most 3 s", got)
	}
}

// TestOutageRate guards against a call rate in a long outage that grows with
// the number of callers: 6 hours with a caller every 100 ms.
func TestOutageRate(t *testing.T) {
	const seed = 1
	t.Logf("seed %d", seed)
	b := &breaker{min: 50 * time.Millisecond, max: 10 * time.Second, random: rand.New(rand.NewPCG(seed, 0)).Float64}
	now := time.Unix(0, 0)
	calls := 0
	const hours = 6
	for end := now.Add(hours * time.Hour); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if _, ok := b.allow(now); ok {
			calls++
			b.record(now, failed)
		}
	}
	// Full jitter up to 10 s means one call in 5 s on average.
	if want := hours * 3600 / 4; calls > want {
		t.Errorf("calls in %d hours of outage: got %d, want at most %d", hours, calls, want)
	}
	b.record(now, succeeded)
	if _, ok := b.allow(now); !ok {
		t.Error("after a success: got the call rejected, want it allowed")
	}
}

// TestOutage guards against calls that block during an outage, against a client
// that does not recover afterwards and against one that does not fail over to
// its second address.
func TestOutage(t *testing.T) {
	s, c := startClient(t, Config{Addresses: []string{"127.0.0.1:1"}, MaxBackoff: 100 * time.Millisecond})
	ctx := timeoutContext(t, 10*time.Second)
	if _, err := c.Put(ctx, "A", nil, 0, "op-1"); err != nil {
		t.Fatalf("first address down: got %v, want success at the second", err)
	}
	s.Refuse(true)
	for range 100 {
		begun := time.Now()
		_, err := c.Get(ctx, "A")
		if got := siskin.KindOf(err); got != siskin.Unavailable {
			t.Fatalf("during the outage: got %v, want Unavailable", err)
		}
		if took := time.Since(begun); took > time.Second {
			t.Fatalf("during the outage: a call took %v, want under 1 s", took)
		}
	}
	if got := c.Snapshot().Rejected; got < 50 {
		t.Errorf("rejected calls: got %d of 100, want at least 50", got)
	}
	s.Refuse(false)
	for ctx.Err() == nil {
		if _, err := c.Get(ctx, "A"); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("after the outage: got no response, want one")
}

// TestShortWatches guards against counting watches that reach their own
// deadline as failures of the platform, and against a new connection per watch.
func TestShortWatches(t *testing.T) {
	s, c := startClient(t, Config{})
	for range 4 {
		if _, err := c.Watch(timeoutContext(t, 400*time.Millisecond), "A", 0); siskin.KindOf(err) != siskin.Unavailable {
			t.Errorf("watch without a change: got %v, want Unavailable", err)
		}
	}
	if got := c.Snapshot(); got.Failures != 0 || got.CircuitOpen {
		t.Errorf("got %d failures, circuit open %v; want none", got.Failures, got.CircuitOpen)
	}
	if got := s.Stats().Total(); got != 4 {
		t.Errorf("calls of 4 watches: got %d, want 4", got)
	}
}

// TestBudget guards against a process that exceeds its call budget, and
// against watches that are not counted.
func TestBudget(t *testing.T) {
	s, c := startClient(t, Config{CallsPerSecond: 20, Burst: 5, MaxWatches: 1})
	ctx := timeoutContext(t, 500*time.Millisecond)
	go func() { _, _ = c.Watch(ctx, "A", 0) }()
	time.Sleep(20 * time.Millisecond)
	if _, err := c.Watch(ctx, "B", 0); siskin.KindOf(err) != siskin.Overloaded {
		t.Errorf("second watch: got %v, want Overloaded", err)
	}
	for ctx.Err() == nil {
		_, _ = c.Get(ctx, "A")
	}
	if got, want := s.Stats().Total(), int64(5+20/2+1); got > want {
		t.Errorf("calls in 0.5 s: got %d, want at most %d", got, want)
	}
}
