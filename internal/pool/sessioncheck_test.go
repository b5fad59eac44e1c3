package pool

import (
	"slices"
	"testing"
	"time"
)

// closeIdle closes the idle connections of the fixture's slot, as eviction or
// the idle timeout does, and opens new ones.
func (f *fixture) closeIdle() {
	f.locked(key, func() {
		s, _ := f.slots.Get(key)
		s.closeIdle()
		s.openMissing()
	})
}

// TestSilentWithoutOlderIdleConn guards against a request that waits on a
// silent connection until its deadline because no idle connection of the same
// age is left to be probed, or because one opened just after the fault is taken
// for one of that age.
func TestSilentWithoutOlderIdleConn(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the detection of silence")
	}
	for _, tt := range []struct {
		name  string
		after func(*fixture) // what happens just after the fault
	}{
		{"siblings closed", (*fixture).closeIdle},
		{"sibling opened just after the fault", func(f *fixture) {
			f.locked(key, func() {
				s, _ := f.slots.Get(key)
				s.startOpening(ReadOnly)
			})
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 6)
			busy, second, reader := f.get(t, Full, 1), f.get(t, Full, 2), f.get(t, ReadOnly, 3)
			reader.Recycle(3)
			second.Recycle(2)
			f.awaitOpened(t)
			start := time.Now()
			f.dialer.muteUpTo.Store(f.dialer.opens.Load())
			tt.after(f)
			ok := busy.roundTrip(encodeQuery("select 1"), 6*time.Second)
			if got, want := time.Since(start), 3*time.Second; ok || !busy.Silent() || got > want {
				t.Errorf("connection in use: got answer %v, silent %v after %v, want the read aborted within %v", ok, busy.Silent(), got, want)
			}
			busy.Close(nil)
		})
	}
}

// awaitOpened waits until no opening is in progress.
func (f *fixture) awaitOpened(t *testing.T) {
	t.Helper()
	for start := time.Now(); f.Stats()[key].Opening > 0; time.Sleep(time.Millisecond) {
		if time.Since(start) > 3*time.Second {
			t.Fatal("got an opening in progress, want none")
		}
	}
}

// TestQuietIsNotSilent guards against requests that are aborted because their
// connection is quiet while the target is running a statement or the caller is
// idle in a transaction or still sending a batch.
func TestQuietIsNotSilent(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for the detection of silence")
	}
	f := newFixture(t, 8)
	slow, thinking, streaming := f.get(t, Full, 1), f.get(t, Full, 2), f.get(t, Full, 3)
	f.closeIdle()
	streaming.SetStreaming(true)
	answers := make(chan string, 2)
	go func() {
		if !slow.roundTrip(encodeQuery("select pg_sleep(2.5)"), 6*time.Second) {
			answers <- "slow statement"
			return
		}
		answers <- ""
	}()
	go func() {
		if _, err := streaming.R.Next(); err != nil {
			answers <- "batch that is still being sent"
			return
		}
		answers <- ""
	}()
	time.Sleep(2500 * time.Millisecond)
	if err := streaming.W.Raw(encodeQuery("select 1")); err != nil || streaming.W.Flush() != nil {
		t.Errorf("rest of the batch: got %v, want it sent", err)
	}
	for range 2 {
		if got := <-answers; got != "" {
			t.Errorf("%s: got the read aborted, want an answer", got)
		}
	}
	if !thinking.roundTrip(encodeQuery("select 1"), time.Second) {
		t.Error("transaction without a statement: got the connection closed, want it open")
	}
	var lastCheck []time.Time
	f.locked(key, func() {
		s, _ := f.slots.Get(key)
		lastCheck = s.lastCheck[:]
	})
	if !slices.ContainsFunc(lastCheck, func(at time.Time) bool { return !at.IsZero() }) {
		t.Error("got no session check, want one for the slow statement")
	}
	for _, c := range []*Conn{slow, thinking, streaming} {
		c.Close(nil)
	}
}

// TestRefusedSessionCheck guards against connections that are closed because
// the target refuses the query for the state of its sessions.
func TestRefusedSessionCheck(t *testing.T) {
	f := newFixture(t, 2)
	c := f.get(t, Full, 1)
	for _, sql := range []string{"select no_such_form", "select 'text'"} {
		var types []byte
		ok := c.simpleQuery(encodeQuery(sql), time.Second, func(typ byte, _ []byte) bool {
			types = append(types, typ)
			return true
		})
		if !ok || types[len(types)-1] != 'Z' {
			t.Errorf("%s: got %v and the messages %q, want an idle connection", sql, ok, types)
		}
	}
	if waiting, ok := c.idleSessions([]quietRead{{conn: c}}); !ok || len(waiting) != 0 {
		t.Errorf("about itself: got %v, %v, want no session that waits", waiting, ok)
	}
	c.Recycle(1)
}
