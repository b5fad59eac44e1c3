package home

import (
	"context"
	"testing"
	"time"

	"siskintray.example/siskin"
)

// TestObserve guards against a target that is taken to have run for as long as before
// although it started again: a replica then confirms a lead without the claim that it
// has forgotten.
func TestObserve(t *testing.T) {
	f := fenced(t)
	target := f.target(1)
	const pause = 50 * time.Millisecond
	observe := func(what string) Run {
		t.Helper()
		_, run, err := f.homes.Observe(context.Background(), target.ID())
		if err != nil {
			t.Fatalf("%s: got %v, want the state of the target", what, err)
		}
		return run
	}
	observe("first question")
	time.Sleep(pause)
	if got := observe("second question"); got.Running < pause || got.Failed != 0 {
		t.Errorf("on the same connection: got %+v, want at least %v without a failure", got, pause)
	}
	f.restart(target)
	if got := observe("after a start"); got.Running >= pause || got.Failed == 0 || got.Failed >= pause {
		t.Errorf("after a start: got %+v, want less than %v and a failure", got, pause)
	}
	if got := f.run(request(target, siskin.Read, "x")); got.Outcome != Answered {
		t.Fatalf("read: got %+v, want an answer", got)
	}
	time.Sleep(pause)
	if got := observe("on a connection of callers"); got.Running < pause {
		t.Errorf("on a connection of callers: got %+v, want at least %v", got, pause)
	}
	f.homes.cfg.IsHome = func(siskin.TargetInfo) bool { return false }
	time.Sleep(pause)
	if got := observe("at a VM that is not the home"); got.Failed == 0 || got.Failed > got.Running {
		t.Errorf("at a VM that is not the home: got %+v, want no more than its connection shows", got)
	}
}

// TestStarted guards against a replica whose run is taken for longer than a connection
// or the lists of service discovery show.
func TestStarted(t *testing.T) {
	f := fenced(t)
	for _, c := range []struct {
		name   string
		listed time.Duration // ago
		run    Run
		want   time.Duration // ago
	}{
		{"an old connection", time.Second, Run{Running: time.Minute, Failed: time.Millisecond}, time.Minute},
		{"listed for long", time.Minute, Run{Running: time.Millisecond}, time.Minute},
		{"failed since it was listed", time.Minute, Run{Running: time.Millisecond, Failed: time.Second}, time.Second},
		{"listed since it failed", time.Second, Run{Running: time.Millisecond, Failed: time.Minute}, time.Second},
	} {
		now := f.homes.cfg.Clock.Now()
		f.listed = now.Add(-c.listed)
		got := now.Sub(f.homes.started("t", &c.run))
		if got > c.want || got < c.want-100*time.Millisecond {
			t.Errorf("%s: got a start %v ago, want %v", c.name, got, c.want)
		}
	}
	f.homes.cfg.Leads.Listed = func(siskin.TargetID) (time.Time, bool) { return time.Time{}, false }
	if got := f.homes.cfg.Clock.Since(f.homes.started("t", &Run{Running: time.Second})); got > 2*time.Second {
		t.Errorf("not listed: got a start %v ago, want what the connection shows", got)
	}
}

// TestRefusals guards against a primary that is taken for a healthy one since writes
// are refused before they are sent, or for a stalled one long after the last refusal.
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
		{"they go on", 800, 1400, 1400 * time.Millisecond},
		{"they have ended", 800, 1401, 0},
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
