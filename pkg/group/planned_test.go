package group_test

import (
	"context"
	"testing"
	"time"

	"siskintray.example/siskin"
)

// TestPlannedChangeFailsNothing guards against a planned change of primary that
// fails a request at any home, also when another home requests it, and against a
// leaving primary that keeps its role.
func TestPlannedChangeFailsNothing(t *testing.T) {
	t.Parallel()
	for _, p := range profiles {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			w, groups := startWriters(t, ctx, p, false)
			time.Sleep(500 * time.Millisecond)
			start := time.Now()
			if err := groups[1].Promote(ctx, "ledger/3", false); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			gap := w.gap(start)
			w.servers[2].SetLeaving(true)
			for deadline := time.Now().Add(3 * time.Second); groups[0].View().Primary == "ledger/3" && time.Now().Before(deadline); {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(time.Second)
			cancel()
			w.wg.Wait()
			if got := groups[0].View().Primary; got == "ledger/3" || got == "" {
				t.Errorf("got primary %q 3 s after it announced that it is leaving, want another", got)
			}
			if len(w.failed) > 0 {
				t.Errorf("got failed requests %v, want none", w.failed)
			}
			if missing := w.lostWrites(groups[0]); len(missing) > 0 {
				t.Errorf("lost acknowledged writes: %v", missing)
			}
			t.Logf("%d writes; longest gap %v in the requested change, %v when the primary left", len(w.acked), gap.Round(time.Millisecond), w.gap(start.Add(time.Second)).Round(time.Millisecond))
		})
	}
}

// TestTooFewTargets guards against writes that wait for a group that cannot
// have a primary, and against a forced change that does not restore one.
func TestTooFewTargets(t *testing.T) {
	t.Parallel()
	servers := startTargets(t, 3, nil)
	g := startGroup(t, servers, "vm-1")
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	if _, err := write(ctx, g, servers, "a"); err != nil {
		t.Fatal(err)
	}
	servers[0].Close()
	servers[1].Close()
	time.Sleep(1500 * time.Millisecond)
	start := time.Now()
	_, _, _, err := g.AdmitWrite(ctx)
	if siskin.KindOf(err) != siskin.NotRun || time.Since(start) > 100*time.Millisecond {
		t.Fatalf("got %v after %v, want not run at once", err, time.Since(start))
	}
	if err := g.Promote(ctx, "ledger/3", true); err != nil {
		t.Fatal(err)
	}
	if got, want := g.View().Primary, siskin.TargetID("ledger/3"); got != want {
		t.Fatalf("got primary %q, want %q", got, want)
	}
}

// TestOldPrimaryRejoins guards against a replaced primary that does not rejoin
// the group, or that keeps the end of its log that was never acknowledged.
func TestOldPrimaryRejoins(t *testing.T) {
	t.Parallel()
	servers := startTargets(t, 3, nil)
	g := startGroup(t, servers, "vm-1")
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	if _, err := write(ctx, g, servers, "kept"); err != nil {
		t.Fatal(err)
	}
	servers[0].CutReplication(true)
	if _, err := write(ctx, g, servers, "discarded"); siskin.KindOf(err) != siskin.OutcomeUnknown {
		t.Fatalf("got %v, want an unknown outcome", err)
	}
	if _, err := write(ctx, g, servers, "later"); err != nil {
		t.Fatal(err)
	}
	servers[0].CutReplication(false)
	old := servers[0].Store()
	for old.Status(time.Now()).StreamTerm < g.View().Term && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	table := old.Table()
	_, discarded := table["discarded"]
	if _, ok := table["later"]; !ok || discarded {
		t.Errorf("got %v at the old primary, want kept and later only", table)
	}
}

// TestLaggingReplicasRefuseWrites guards against writes that queue up because
// no confirmations arrive.
func TestLaggingReplicasRefuseWrites(t *testing.T) {
	t.Parallel()
	servers := startTargets(t, 3, nil)
	g := startGroup(t, servers, "vm-1")
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	if _, err := write(ctx, g, servers, "a"); err != nil {
		t.Fatal(err)
	}
	for _, s := range servers[1:] {
		s.SetLag(10*time.Second, 0)
	}
	go func() {
		_, err := write(ctx, g, servers, "b")
		if err == nil {
			t.Error("got an acknowledgement without a confirmation")
		}
	}()
	time.Sleep(2300 * time.Millisecond)
	if _, _, _, err := g.AdmitWrite(ctx); siskin.KindOf(err) != siskin.NotRun {
		t.Fatalf("got %v, want not run", err)
	}
}

// TestSilentConnectionsAreReplaced guards against a failover, or blocked
// writes, because the open connections stopped responding while new ones work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	servers := startTargets(t, 3, nil)
	g := startGroup(t, servers, "vm-1")
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	if _, err := write(ctx, g, servers, "a"); err != nil {
		t.Fatal(err)
	}
	for _, s := range servers {
		s.SilenceOpen()
	}
	start := time.Now()
	if _, err := write(ctx, g, servers, "b"); err != nil {
		t.Fatal(err)
	}
	if got := time.Since(start); got > 3*time.Second {
		t.Errorf("got %v until the next write, want less than 3s", got)
	}
	time.Sleep(time.Second)
	if v := g.View(); v.Term != 1 {
		t.Errorf("got term %d, want 1: the primary was replaced", v.Term)
	}
}
