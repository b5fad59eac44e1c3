package home

import (
	"net"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/platform/stand"
)

// TestTargetRefusesConnections guards against a home that keeps opening
// connections at a target that refuses them, for instance while another VM
// considers itself the home: 72,013 were refused in a minute while network
// paths of a primary were cut.
func TestTargetRefusesConnections(t *testing.T) {
	const maxConns = 10
	f := start(t, stand.ServiceOptions{MaxConnections: maxConns})
	target := f.target(0)
	var others []net.Conn
	for range maxConns {
		c, err := net.Dial("tcp", target.Address())
		if err != nil {
			t.Fatal(err)
		}
		others = append(others, c)
	}
	for deadline := time.Now().Add(5 * time.Second); target.Opened() < maxConns; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the target did not accept the other connections")
		}
	}
	before := target.Opened()
	const span = 1200 * time.Millisecond
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for end := time.Now().Add(span); time.Now().Before(end); {
				req := request(target, siskin.Read, "x")
				req.QueueTimeout = 100 * time.Millisecond
				if got := f.run(req); got.Outcome != NotSent {
					t.Errorf("read at a target without a free connection: got %+v, want it not sent", got)
				}
			}
		})
	}
	wg.Wait()
	// One attempt follows each backoff, which doubles up to half a second.
	if got := target.Opened() - before; got > 20 {
		t.Errorf("connections tried in %v: got %d, want at most 20", span, got)
	}
	for _, c := range others {
		c.Close()
	}
	time.Sleep(maxConnBackoff)
	if got := f.run(request(target, siskin.Read, "x")); got.Outcome != Answered {
		t.Errorf("read after the others closed: got %+v, want an answer", got)
	}
}

// TestConnLimiter guards against a limit that never rises again, and against
// one that lets all waiting requests try at once.
func TestConnLimiter(t *testing.T) {
	var c connLimiter
	now := time.Unix(100, 0)
	if got := c.limit(now, 31); got != 31 {
		t.Errorf("limit without a refusal: got %d, want 31", got)
	}
	c.refused(now, 12)
	c.refused(now, 4)
	if got := c.limit(now, 31); got != 4 {
		t.Errorf("limit after refusals: got %d, want 4", got)
	}
	now = now.Add(maxConnBackoff)
	for open := 5; open <= 31; open++ {
		if got := c.limit(now, 31); got != open {
			t.Fatalf("limit after the backoff: got %d, want %d", got, open)
		}
		c.accepted(open, 31)
	}
	if c.active {
		t.Error("the limit is still active after all connections were accepted")
	}
}
