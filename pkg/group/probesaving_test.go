package group_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/group"
	"siskintray.example/siskin/pkg/pgctl"
)

// probeCountingDialer counts the probes of replicas, which are calls of Wait
// for a term without a position.
type probeCountingDialer struct {
	siskin.TargetDialer
	probes atomic.Int64
}

type probeCountingTarget struct {
	siskin.Target
	dialer *probeCountingDialer
}

// DialTarget implements siskin.TargetDialer.
func (d *probeCountingDialer) DialTarget(ctx context.Context, id siskin.TargetID, address string) (siskin.Target, error) {
	t, err := d.TargetDialer.DialTarget(ctx, id, address)
	return &probeCountingTarget{t, d}, err
}

// Wait implements siskin.Target.
func (t *probeCountingTarget) Wait(ctx context.Context, pos siskin.Position, limit time.Duration) (siskin.TargetStatus, error) {
	if pos.LSN == 0 {
		t.dialer.probes.Add(1)
	}
	return t.Target.Wait(ctx, pos, limit)
}

// TestConfirmationsSpareProbes guards against needless probes of replicas whose
// status has just arrived with a confirmation, and against a higher staleness
// without these probes.
func TestConfirmationsSpareProbes(t *testing.T) {
	t.Parallel()
	servers := startTargets(t, 3, nil)
	s := group.Settings{Service: "ledger", Self: "vm-1", AckReplicas: 1, Interval: *interval}
	for _, srv := range servers {
		s.Members = append(s.Members, group.Member{ID: srv.ID(), Address: srv.Address()})
	}
	dialer := &probeCountingDialer{TargetDialer: pgctl.NewDialer(config.Credentials{User: "siskin", Password: "full-secret", Database: "app"}, time.Second)}
	g, err := group.New(s, dialer)
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if _, err := write(ctx, g, servers, "first"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * *interval)
	before := dialer.probes.Load()
	time.Sleep(10 * *interval)
	idle := dialer.probes.Load() - before
	oldest, before := time.Duration(0), dialer.probes.Load()
	for begun, i := time.Now(), 0; time.Since(begun) < 10**interval; i++ {
		if _, err := write(ctx, g, servers, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
		for _, tv := range g.View().Targets {
			oldest = max(oldest, tv.Staleness)
		}
	}
	busy := dialer.probes.Load() - before
	t.Logf("probes of 2 replicas in 10 intervals: %d idle, %d under writes; oldest data %v", idle, busy, oldest)
	if busy > idle/2 {
		t.Errorf("probes under writes: got %d, want at most half of %d", busy, idle)
	}
	if limit := 3 * *interval; oldest > limit {
		t.Errorf("staleness under writes: got %v, want at most %v", oldest, limit)
	}
}
