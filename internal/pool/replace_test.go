package pool

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// TestSilentConnectionsAreReplaced guards against requests that wait on silent
// old connections while new ones work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	f := newFixture(t, 6)
	busy := f.get(t, Full, 1)
	second := f.get(t, Full, 2)
	second.Recycle(2)
	start := time.Now()
	f.dialer.muteUpTo.Store(f.dialer.opens.Load())
	_ = busy.W.Message(&pgproto3.Query{String: "select 1"})
	if err := busy.W.Flush(); err != nil {
		t.Fatal(err)
	}
	_, err := busy.R.Next()
	if got, want := time.Since(start), 3*time.Second; err == nil || !busy.Silent() || got > want {
		t.Fatalf("connection in use: got %v (silent %v) after %v, want the read aborted within %v", err, busy.Silent(), got, want)
	}
	busy.Close(err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := f.Get(ctx, key, Full, 3)
	if err != nil {
		t.Fatal(err)
	}
	if !c.roundTrip(encodeQuery("select 1"), time.Second) {
		t.Errorf("got a silent connection %v after the fault, want a new one", time.Since(start))
	}
	c.Recycle(3)
}

// TestSlowStatementIsNotSilent guards against aborting a request that takes
// long while another connection is silent.
func TestSlowStatementIsNotSilent(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the detection of silence")
	}
	f := newFixture(t, 6)
	slow := f.get(t, Full, 1)
	other := f.get(t, Full, 2)
	third := f.get(t, Full, 3)
	third.Recycle(3)
	// The dialer mutes the connection that was opened first, so the slow
	// statement must run on the other one.
	owner := uint64(2)
	if slow.Conn.(mutedConn).opening == 1 {
		slow, other, owner = other, slow, 1
	}
	other.Recycle(owner)
	f.dialer.muteUpTo.Store(1) // one connection only
	if !slow.roundTrip(encodeQuery("select pg_sleep(3.5)"), 6*time.Second) {
		t.Errorf("got a slow statement aborted (silent %v), want its answer", slow.Silent())
	}
	slow.Close(nil)
}

// TestIdleConnectionsAreProbedAgain guards against aborting a slow statement
// although another connection of the same age works. That connection answered
// before the unanswered probe timed out, which is no evidence, so it must be
// probed again before the decision.
func TestIdleConnectionsAreProbedAgain(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the detection of silence")
	}
	f := newFixture(t, 2) // no other connection that is probed at other times
	slow := f.get(t, Full, 1)
	other := f.get(t, Full, 2)
	start := time.Now()
	done := make(chan bool, 1)
	go func() { done <- slow.roundTrip(encodeQuery("select pg_sleep(3)"), 6*time.Second) }()
	time.Sleep(1600 * time.Millisecond)
	other.Recycle(2)
	f.ProbeFailed(key.Target, start.Add(700*time.Millisecond))
	if !<-done {
		t.Errorf("got a slow statement aborted (silent %v) after %v, want its answer", slow.Silent(), time.Since(start))
	}
	slow.Close(nil)
}

// TestAllInUseGoSilent guards against requests between VMs that wait until
// their deadline because every connection that could be probed is in use.
func TestAllInUseGoSilent(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the detection of silence")
	}
	f := newFixture(t, 6)
	f.cfg.Stateless = true
	f.Own(key, f.cfg)
	var busy []*Conn
	for owner := range uint64(3) {
		busy = append(busy, f.get(t, Full, owner+1))
	}
	time.Sleep(300 * time.Millisecond)
	start := time.Now()
	f.dialer.muteUpTo.Store(f.dialer.opens.Load())
	for { // lease every available connection
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		c, err := f.Get(ctx, key, Full, uint64(len(busy))+1)
		cancel()
		if err != nil {
			break
		}
		busy = append(busy, c)
	}
	for _, c := range busy[:3] {
		ok := c.roundTrip(encodeQuery("select 1"), 6*time.Second)
		if got, want := time.Since(start), 3*time.Second; ok || !c.Silent() || got > want {
			t.Errorf("connection in use: got answer %v, silent %v after %v, want the read aborted within %v", ok, c.Silent(), got, want)
		}
	}
	for _, c := range busy {
		c.Close(nil)
	}
}
