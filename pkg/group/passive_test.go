package group_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/group"
)

// countStatements returns the number of statements that all targets have run.
func countStatements(servers []*target.Server) (n int) {
	for _, s := range servers {
		n += s.Stats().Statements
	}
	return n
}

// awaitPassive waits until a VM that is not a watcher stops probing.
func awaitPassive(t *testing.T, g *group.Group) {
	t.Helper()
	for begun := time.Now(); !g.Passive(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > 15*time.Second {
			t.Fatal("passive: got false after 15 s, want true")
		}
	}
}

func notWatcher() bool { return false }

// TestPassiveProbes guards against a VM that is not a watcher and that probes
// all the time, does not probe a target whose statements get no answer, or
// prefers the statuses of its last own probes to the watchers' views.
func TestPassiveProbes(t *testing.T) {
	t.Parallel()
	servers := startTargets(t, 3, nil)
	var waiting atomic.Bool
	begun := time.Now()
	g := startGroup(t, servers, "vm-1", group.WithWatcher(notWatcher), group.WithStatementActivity(func(siskin.TargetID) (waitingSince, lastAnswer time.Time) {
		if waiting.Load() {
			return begun, time.Now() // statements on other connections are answered
		}
		return time.Time{}, time.Now()
	}))
	watcher := startGroup(t, servers, "vm-0")
	awaitPassive(t, g)
	if err := watcher.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	before := countStatements(servers)
	time.Sleep(2 * time.Second)
	if got := countStatements(servers) - before; got > 0 {
		t.Errorf("statements in 2 s without a fault: got %d, want 0", got)
	}
	waiting.Store(true)
	before = countStatements(servers)
	time.Sleep(2 * time.Second)
	if got := countStatements(servers) - before; got < 10 {
		t.Errorf("statements in 2 s with requests that get no answer: got %d, want at least 10", got)
	}
	waiting.Store(false)
	if !g.Passive() {
		t.Fatal("passive after probes that were answered: got false, want true")
	}
	view := g.View()
	view.Term, view.Primary = 2, servers[1].ID()
	for i := range view.Targets {
		st := &view.Targets[i].Status
		st.ClaimedTerm, st.StreamTerm, st.Role = 2, 2, siskin.RoleReplica
		if st.ID == view.Primary {
			st.Role = siskin.RolePrimary
		}
	}
	g.ApplyView(&view, time.Now())
	for begun := time.Now(); g.View().Primary != view.Primary; time.Sleep(time.Millisecond) {
		if time.Since(begun) > time.Second {
			t.Fatalf("primary after the watcher's view: got %s, want %s", g.View().Primary, view.Primary)
		}
	}
	view.Targets[0].Reachable = false
	g.ApplyView(&view, time.Now())
	for begun := time.Now(); g.Passive(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > time.Second {
			t.Fatal("passive after a watcher lost a target: got true, want false")
		}
	}
}

// TestPassiveFailover guards against a primary that fails together with all
// watchers and is not replaced within 7 s by the other homes.
func TestPassiveFailover(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			servers := startTargets(t, 3, nil)
			var groups []*group.Group
			for i := range 2 {
				groups = append(groups, startGroup(t, servers, siskin.VMID(fmt.Sprint("vm-", i)), group.WithWatcher(notWatcher), group.WithRank(func() int { return 2 + i })))
			}
			for _, g := range groups {
				awaitPassive(t, g)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*maxGap)
			defer cancel()
			if _, err := write(ctx, groups[0], servers, "before"); err != nil {
				t.Fatal(err)
			}
			sc.fault(servers)
			begun := time.Now()
			for {
				callCtx, cancel := context.WithTimeout(ctx, time.Second)
				_, err := write(callCtx, groups[1], servers, fmt.Sprint("after", time.Since(begun)))
				cancel()
				if err == nil {
					break
				}
				if ctx.Err() != nil {
					t.Fatalf("write after the fault: got %v", err)
				}
			}
			took := time.Since(begun)
			t.Logf("first write %v after the fault", took)
			if took > maxGap {
				t.Errorf("first write: got it after %v, want at most %v", took, maxGap)
			}
		})
	}
}

// TestPassiveSilentTarget guards against a home that does not probe and detects
// an unresponsive target later than a home that probes. It knows from its
// waiting statements since when the target has not answered.
func TestPassiveSilentTarget(t *testing.T) {
	t.Parallel()
	servers := startTargets(t, 3, nil)
	var waiting atomic.Bool
	var last atomic.Int64
	g := startGroup(t, servers, "vm-1", group.WithWatcher(notWatcher), group.WithStatementActivity(func(id siskin.TargetID) (waitingSince, lastAnswer time.Time) {
		if waiting.Load() && id == servers[2].ID() {
			return time.Unix(0, last.Load()), time.Unix(0, last.Load())
		}
		return time.Time{}, time.Time{}
	}))
	awaitPassive(t, g)
	servers[2].SetPaused(true)
	begun := time.Now()
	last.Store(begun.UnixNano())
	waiting.Store(true)
	for {
		view := g.View()
		if tv, _ := view.Target(servers[2].ID()); !tv.Reachable {
			break
		}
		if time.Since(begun) > 15**interval {
			t.Fatal("unresponsive target: got it reachable after 15 intervals, want unreachable")
		}
		time.Sleep(time.Millisecond)
	}
	took := time.Since(begun)
	t.Logf("unreachable %v after the last answer", took)
	if limit := 5 * *interval; took > limit {
		t.Errorf("unresponsive target: got it unreachable after %v, want at most %v", took, limit)
	}
}
