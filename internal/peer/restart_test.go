package peer

import (
	"testing"
	"time"
)

// TestRestartedPeer guards against a client that keeps using a connection which
// its peer closed, so that calls to a restarted VM fail until the idle timeout.
func TestRestartedPeer(t *testing.T) {
	s, c := startPair(t, Config{}, Config{}, &Echo{})
	if _, err := call(c, "b", "Echo.Do", &Args{Text: "x"}, time.Second); err != nil {
		t.Fatal(err)
	}
	address := s.Address()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	restarted, err := Listen(Config{Self: "b"}, address)
	if err != nil {
		t.Fatal(err)
	}
	defer restarted.Close()
	if err := restarted.Register("Echo", &Echo{}); err != nil {
		t.Fatal(err)
	}
	restarted.Serve()
	const limit = 3 * time.Second // bound on replacing a broken connection
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		got, err := call(c, "b", "Echo.Do", &Args{Text: "y"}, time.Second)
		if err == nil && got == "y" {
			return
		}
		if time.Since(start) > limit {
			t.Fatalf("call after the restart: got %q, %v after %v, want y", got, err, limit)
		}
	}
}
