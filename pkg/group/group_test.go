package group_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/store"
	"siskintray.example/siskin/internal/stand/target"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/group"
	"siskintray.example/siskin/pkg/invar"
	"siskintray.example/siskin/pkg/pgctl"
)

var interval = flag.Duration("interval", group.DefaultInterval, "time between probes of one target")

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "20") // each check simulates half a minute
	}
	invar.OnViolation(func(name, detail string) { panic(name + ": " + detail) })
	goleak.VerifyTestMain(m)
}

func startTargets(t *testing.T, n int, edit func(*target.Config)) []*target.Server {
	t.Helper()
	servers, err := target.StartGroup("ledger", n, edit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.CloseAll(servers) })
	return servers
}

func startGroup(t *testing.T, servers []*target.Server, vm siskin.VMID, opts ...group.Option) *group.Group {
	t.Helper()
	s := group.Settings{Service: "ledger", Self: vm, AckReplicas: (len(servers) - 1) / 2}
	for _, srv := range servers {
		s.Members = append(s.Members, group.Member{ID: srv.ID(), Address: srv.Address()})
	}
	s.Interval = *interval
	dialer := pgctl.NewDialer(config.Credentials{User: "siskin", Password: "full-secret", Database: "app"}, time.Second)
	g, err := group.New(s, dialer, opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.Close() })
	return g
}

// write admits a write through g, commits it in the primary's store and waits
// for its confirmation.
func write(ctx context.Context, g *group.Group, servers []*target.Server, key string) (siskin.Position, error) {
	primary, _, done, err := g.AdmitWrite(ctx)
	if err != nil {
		return siskin.Position{}, err
	}
	defer done()
	for _, s := range servers {
		if s.ID() == primary {
			pos, err := s.Store().Commit([]store.Op{{Key: key, Value: "1"}})
			if err != nil {
				g.ReportFailure(primary, err)
				return pos, err
			}
			return pos, g.Confirm(ctx, pos)
		}
	}
	return siskin.Position{}, fmt.Errorf("no target %s", primary)
}

// TestConfirmFloorAndStaleness guards against an acknowledged write that a
// floor sampled afterwards does not cover.
func TestConfirmFloorAndStaleness(t *testing.T) {
	servers := startTargets(t, 3, nil)
	g := startGroup(t, servers, "vm-1")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	check := func(key string) {
		pos, err := write(ctx, g, servers, key)
		if err != nil {
			t.Fatal(err)
		}
		floor, err := g.Floor(ctx)
		if err != nil || floor.Compare(pos) < 0 {
			t.Fatalf("got floor %v, %v, want at least %v", floor, err, pos)
		}
	}
	for i := range 100 {
		check(fmt.Sprint(i))
	}
	time.Sleep(time.Second)
	for _, tv := range g.View().Targets {
		if tv.Staleness < 0 || tv.Staleness > 700*time.Millisecond {
			t.Errorf("%s: got staleness %v, want less than 700ms", tv.Status.ID, tv.Staleness)
		}
	}
	servers[2].SetLag(time.Minute, 0) // its answer alone must not determine a floor
	for i := range 50 {
		check(fmt.Sprint("lag", i))
	}
}

// TestFailoverKeepsWrites guards against a killed primary that is not replaced.
func TestFailoverKeepsWrites(t *testing.T) {
	servers := startTargets(t, 3, nil)
	g := startGroup(t, servers, "vm-1")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if _, err := write(ctx, g, servers, "before"); err != nil {
		t.Fatal(err)
	}
	servers[0].Close()
	start := time.Now()
	for {
		_, err := write(ctx, g, servers, "after")
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			t.Fatal(err)
		}
	}
	t.Log("gap", time.Since(start), g.View().Term, g.View().Primary)
}
