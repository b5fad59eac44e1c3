package home

import (
	"context"
	"testing"
	"time"

	"siskintray.example/siskin"
)

// TestObserve guards against a connection age that continues over a restart of
// the target: a replica that has lost its claim in the restart would then
// confirm a primary.
func TestObserve(t *testing.T) {
	f := fenced(t)
	target := f.target(1)
	const pause = 50 * time.Millisecond
	observe := func(what string) time.Duration {
		t.Helper()
		_, running, err := f.homes.Observe(context.Background(), target.ID())
		if err != nil {
			t.Fatalf("%s: got %v, want the state of the target", what, err)
		}
		return running
	}
	observe("first request")
	time.Sleep(pause)
	if got := observe("second request"); got < pause {
		t.Errorf("on the same connection: got %v, want at least %v", got, pause)
	}
	f.restart(target)
	if got := observe("after a restart"); got >= pause {
		t.Errorf("after a restart: got %v, want less than %v", got, pause)
	}
	if got := f.run(request(target, siskin.Read, "x")); got.Outcome != Answered {
		t.Fatalf("read: got %+v, want an answer", got)
	}
	f.homes.cfg.IsHome = func(siskin.TargetInfo) bool { return false }
	time.Sleep(pause)
	if got := observe("on the oldest connection"); got < pause {
		t.Errorf("on the oldest connection: got %v, want at least %v", got, pause)
	}
}

// TestExpiredContext guards against healthy connections that are closed by a
// status request whose deadline has passed, such as one from a VM that was
// suspended.
func TestExpiredContext(t *testing.T) {
	f := fenced(t)
	id := f.target(1).ID()
	if got := f.run(request(f.target(1), siskin.Read, "x")); got.Outcome != Answered {
		t.Fatalf("read: got %+v, want an answer", got)
	}
	if _, err := f.homes.Control(context.Background(), id, siskin.Statement{Kind: siskin.Status}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	expired, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Millisecond))
	defer cancel()
	if _, _, err := f.homes.Observe(expired, id); err == nil {
		t.Error("status request after its deadline: got an answer, want an error")
	}
	if _, err := f.homes.Control(expired, id, siskin.Statement{Kind: siskin.Status}); err == nil {
		t.Error("control statement after its deadline: got an answer, want an error")
	}
	if got := f.target(1).Opened(); got != 2 {
		t.Errorf("connections opened: got %d, want the 2 opened before", got)
	}
	l, _ := f.homes.pool(id)
	if open, idle, _ := l.counts(); open != 1 || idle != 1 || l.control.c == nil {
		t.Errorf("connections afterwards: got %d open, %d idle, control connection %v, want 1, 1 and one", open, idle, l.control.c != nil)
	}
}

// TestStarted guards against an assumed uptime of a replica that is longer than
// its connection or the lists of service discovery prove: a list requested just
// after the connection was opened may not include an earlier restart.
func TestStarted(t *testing.T) {
	f := fenced(t)
	for _, c := range []struct {
		name                         string
		running, since, listed, want time.Duration // ago
	}{
		{"an old connection", time.Minute, time.Second, 0, time.Minute},
		{"listed for long, also after the opening", 10 * time.Second, time.Minute, time.Second, time.Minute},
		{"no list since the opening", time.Second, time.Minute, 2 * time.Second, time.Second},
		{"a list right after the opening", 3 * time.Second, time.Minute, 2 * time.Second, 3 * time.Second},
	} {
		now := f.homes.cfg.Clock.Now()
		f.since, f.listed = now.Add(-c.since), now.Add(-c.listed)
		got := now.Sub(f.homes.runningSince("t", c.running))
		if got > c.want || got < c.want-100*time.Millisecond {
			t.Errorf("%s: got a start %v ago, want %v", c.name, got, c.want)
		}
	}
	f.homes.cfg.LeaseConfig.Listed = func(siskin.TargetID) (since, listed time.Time, ok bool) { return since, f.homes.cfg.Clock.Now(), false }
	if got := f.homes.cfg.Clock.Since(f.homes.runningSince("t", 10*time.Second)); got > 11*time.Second {
		t.Errorf("not listed: got a start %v ago, want at most the age of the connection", got)
	}
}

// TestRefusals guards against a primary that counts as healthy while writes are
// refused before they are sent, or as stalled long after the last refusal.
func TestRefusals(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var r refusals
	for _, c := range []struct {
		name     string
		add, ask int // ms
		want     time.Duration
	}{
		{"one refusal", 0, 100, 0},
		{"two refusals", 300, 400, 400 * time.Millisecond},
		{"a further refusal", 800, 1400, 1400 * time.Millisecond},
		{"after the last refusal expired", 800, 1401, 0},
		{"another one after a pause", 2000, 2100, 0},
	} {
		r.add(at(c.add))
		if got := r.since(at(c.ask)); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	r.add(at(2100))
	r.clear()
	r.add(at(2200))
	if got := r.since(at(2200)); got != 0 {
		t.Errorf("after a success: got %v, want 0", got)
	}
}

// TestEnsureControlConn guards against an unused replica whose home has no
// connection to it, so that it could not confirm a primary after a failover. It
// also guards against control connections that use up the target's connection
// limit, which callers need.
func TestEnsureControlConn(t *testing.T) {
	f := fenced(t)
	id := f.target(1).ID()
	l, _ := f.homes.pool(id)
	opened := func() int64 {
		time.Sleep(50 * time.Millisecond)
		return f.target(1).Opened()
	}
	f.homes.EnsureControlConn(id)
	if got := opened(); got != 0 {
		t.Errorf("connections to a target that is used for the first time: got %d, want none", got)
	}
	l.created = l.created.Add(-ensureDelay)
	for range 3 {
		f.homes.EnsureControlConn(id)
	}
	if got := opened(); got != 1 {
		t.Errorf("connections to an unused target: got %d, want 1", got)
	}
	if got := f.run(request(f.target(1), siskin.Read, "x")); got.Outcome != Answered {
		t.Fatalf("read: got %+v, want an answer", got)
	}
	l.trim(f.homes.cfg.Clock.Now().Add(2*controlIdleTimeout), false)
	if l.control.c != nil {
		t.Error("control connection while a connection for callers is open: got one, want it closed")
	}
	l.control.lastEnsure.Store(0)
	f.homes.EnsureControlConn(id)
	if got := opened(); got != 2 {
		t.Errorf("connections while a connection for callers is open: got %d, want no further one", got)
	}
}

// TestControlAfterClose guards against a leaked control connection, opened for
// a status request that arrives after the target was removed or the VM has
// stopped serving.
func TestControlAfterClose(t *testing.T) {
	f := fenced(t)
	id := f.target(1).ID()
	l, _ := f.homes.pool(id)
	l.close()
	if _, err := f.homes.Control(context.Background(), id, siskin.Statement{Kind: siskin.Status}); err == nil {
		t.Error("status request on a closed pool: got an answer, want an error")
	}
	if got := f.target(1).Opened(); got != 0 {
		t.Errorf("connections opened: got %d, want none", got)
	}
}
