package pool

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/soak"
)

// TestLimitOverBothAccounts guards against a slot that opens more connections
// than its limit, and against a request that waits although a connection is
// available.
func TestLimitOverBothAccounts(t *testing.T) { limitOverBothAccounts(t, 7) }

// TestSoak repeats TestLimitOverBothAccounts with increasing seeds.
func TestSoak(t *testing.T) { soak.Each(t, limitOverBothAccounts) }

func limitOverBothAccounts(t *testing.T, seed uint64) {
	const limit = 5
	f := newFixture(t, limit)
	t.Logf("seed %d", seed)
	var wg sync.WaitGroup
	var owner atomic.Uint64
	for w := range 20 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewPCG(seed, uint64(w)))
			for range 60 {
				id := owner.Add(1)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				c, err := f.Get(ctx, key, Account(rnd.IntN(2)), id)
				cancel()
				if err != nil {
					t.Error(err)
					return
				}
				time.Sleep(time.Duration(rnd.IntN(500)) * time.Microsecond)
				if rnd.IntN(10) == 0 {
					c.Close(nil)
				} else {
					c.Recycle(id)
				}
			}
		}()
	}
	wg.Wait()
	// The target may still count a connection that the pool closed when the
	// next one arrives. It then refuses the new connection, and the pool
	// retries.
	if got := f.target.Stats().Slots[0].Max; got > limit {
		t.Errorf("got %d connections at the target, want at most %d", got, limit)
	}
	if st := f.Stats()[key]; st.Open > limit || st.Busy != 0 || st.Waiting != 0 {
		t.Errorf("got %+v, want at most %d open, none busy or waiting", st, limit)
	}
}

// TestDropCutsNoRequest guards against a change of ownership that aborts a
// request in progress, and against new requests on a dropped slot.
func TestDropCutsNoRequest(t *testing.T) {
	f := newFixture(t, 4)
	c := f.get(t, Full, 1)
	done := f.Drop(key)
	if _, err := f.Get(context.Background(), key, Full, 2); siskin.KindOf(err) != siskin.NotRun {
		t.Errorf("got %v, want kind NotRun", err)
	}
	select {
	case <-done:
		t.Fatal("drained while a request is in progress")
	case <-time.After(50 * time.Millisecond):
	}
	if !c.roundTrip(encodeQuery("select 1"), time.Second) {
		t.Error("request in progress was aborted")
	}
	c.Recycle(1)
	<-done
	for range 100 {
		if len(f.Stats()) == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if got := len(f.Stats()); got != 0 {
		t.Errorf("got %d slots left after they were dropped, want 0", got)
	}
	f.Own(key, f.cfg)
	f.get(t, Full, 3).Recycle(3)
}

// TestClosedIdleConnectionIsNotHandedOut guards against an unknown outcome of a
// request that was sent on a connection which the target had closed.
func TestClosedIdleConnectionIsNotHandedOut(t *testing.T) {
	f := newFixture(t, 4)
	for i := range 3 {
		c := f.get(t, Full, uint64(i)+1)
		defer c.Recycle(uint64(i) + 1)
	}
	c := f.get(t, Full, 9)
	addr := c.LocalAddr()
	_ = c.Conn.(mutedConn).Conn.(*net.TCPConn).CloseWrite() // the target then closes its side
	time.Sleep(50 * time.Millisecond)
	if newSocket(c.Conn.(mutedConn).Conn).isOpen() {
		t.Errorf("%v: got open, want closed", addr)
	}
	c.Close(nil)
}

// TestFailedOpenings guards against requests that wait forever and against
// excessive openings while a target is down.
func TestFailedOpenings(t *testing.T) {
	f := newFixture(t, 4)
	f.get(t, Full, 1).Close(nil)
	f.dialer.fail.Store(true)
	f.Drop(key)
	f.Own(key, f.cfg)
	before := f.dialer.opens.Load()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	start, failed := time.Now(), 0
	for i := uint64(10); time.Since(start) < time.Second; i++ {
		c, err := f.Get(ctx, key, Full, i)
		if err == nil {
			c.Close(nil) // a connection from before the fault
			continue
		}
		if siskin.KindOf(err) != siskin.NotRun {
			t.Fatalf("got %v, want kind NotRun", err)
		}
		failed++
		time.Sleep(time.Millisecond)
	}
	if failed == 0 {
		t.Error("got no failure, want some")
	}
	// Backoff with full jitter up to 0.5 s: about ten openings in a second.
	if got := f.dialer.opens.Load() - before; got > 40 {
		t.Errorf("got %d openings in a second, want at most 40", got)
	}
	f.dialer.fail.Store(false)
	c := getEventually(t, f)
	c.Recycle(99)
}

// TestOpensAheadOfDemand guards against statements that wait for an opening
// although there was time to open a connection in advance.
func TestOpensAheadOfDemand(t *testing.T) {
	f := newFixture(t, 16)
	within := func(what string, ok func(Stats) bool) {
		t.Helper()
		for range 100 {
			if ok(f.Stats()[key]) {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Errorf("%s: got %+v after 1 s", what, f.Stats()[key])
	}
	within("minIdle connections of both accounts", func(s Stats) bool { return s.Idle >= 2*minIdle })
	for i := range uint64(8) {
		c := f.get(t, Full, i+1)
		defer c.Recycle(i + 1)
	}
	within("a quarter as many spare connections as the 8 in use", func(s Stats) bool { return s.Busy == 8 && s.Idle >= 8/4 })
}

// TestSlotHandoff guards against the new owner of a slot refusing requests
// while the previous owner finishes its own.
func TestSlotHandoff(t *testing.T) {
	f := newFixture(t, 2)
	first, second := f.get(t, Full, 1), f.get(t, Full, 2)
	next := New(clockwork.NewRealClock(), f.dialer)
	defer next.Close(context.Background())
	next.Own(key, f.cfg)
	time.AfterFunc(200*time.Millisecond, func() {
		f.Drop(key)
		first.Recycle(1)
		second.Recycle(2)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c, err := next.Get(ctx, key, Full, 3)
	if err != nil {
		t.Fatalf("got %v, want a connection after the previous owner is done", err)
	}
	c.Recycle(3)
}

// TestSlotStaysFull guards against a request that fails without waiting because
// the slot was full before it arrived, and against reporting a full target as
// unreachable and suspect, which could change the primary.
func TestSlotStaysFull(t *testing.T) {
	f := newFixture(t, 2)
	f.get(t, Full, 1)
	for f.Stats()[key].Idle == 0 { // the idle connection of the other account
		time.Sleep(time.Millisecond)
	}
	f.dialer.full.Store(true)
	f.Drop(key) // closes the idle one, whose replacement is refused
	f.Own(key, f.cfg)
	time.Sleep(maxFullWait + maxBackoff)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	start := time.Now()
	_, err := f.Get(ctx, key, ReadOnly, 2)
	if got, want := siskin.KindOf(err), siskin.Overloaded; got != want {
		t.Errorf("got %v, want kind %v", err, want)
	}
	if got := time.Since(start); got < maxFullWait || got > 4*maxFullWait {
		t.Errorf("got the error after %v, want it after about %v", got, maxFullWait)
	}
	time.AfterFunc(maxFullWait/2, func() { f.dialer.full.Store(false) })
	c, err := f.Get(ctx, key, ReadOnly, 3)
	if err != nil {
		t.Fatalf("got %v, want a connection of a slot that has room again", err)
	}
	c.Recycle(3)
	if got := f.failureReports.Load(); got != 0 {
		t.Errorf("got %d reports of failure, want 0", got)
	}
}
