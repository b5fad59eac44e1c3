package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/internal/soak"
	"siskintray.example/siskin/internal/stand/target"
)

// targetFaults are functions that start (true) or end (false) a fault of a
// target.
var targetFaults = []func(s *target.Server, on bool){
	(*target.Server).SetPaused,
	(*target.Server).SetSilent,
	(*target.Server).SetRefuse,
	(*target.Server).CutReplication,
	func(s *target.Server, on bool) {
		if on {
			s.SilenceOpen()
		}
	},
	func(s *target.Server, on bool) {
		if on {
			s.Restart()
		}
	},
}

// TestSoakFleet guards against lost writes, stale reads and groups that do not
// recover when one target at a time fails and calls between the watchers and
// the other homes get lost.
func TestSoakFleet(t *testing.T) {
	soak.Each(t, func(t *testing.T, seed uint64) {
		const length = 8 * time.Second
		vms, targets, nodes := startNodes(t)
		peers := nodes[0].cfg.Peers.(*fakePeers)
		rng := rand.New(rand.NewPCG(seed, 0))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		faults := make(chan struct{})
		go func() {
			defer close(faults)
			pause := func() { time.Sleep(500*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond)))) }
			for begun := time.Now(); time.Since(begun) < length-4*time.Second; {
				s, fault := targets[rng.IntN(len(targets))], targetFaults[rng.IntN(len(targetFaults))]
				peers.lost.Store(rng.IntN(3) == 0)
				fault(s, true)
				pause()
				fault(s, false)
				pause()
			}
			peers.lost.Store(false)
		}()
		run := load.NewRun(load.Config{
			VMs: vms, ReadRoute: "read", WriteRoute: "write", Timeout: 10 * time.Second, Seed: seed,
			Groups: []load.Group{{
				Customer: "shop", Key: "shop", Service: "ledger", Callers: 8, Rate: 150, WriteShare: 0.3,
				RoamEvery: 500 * time.Millisecond,
			}},
		}, length)
		run.Do(ctx)
		<-faults
		verdict := load.Judge(&run.Recorder, target.PrimaryTable(targets))
		for _, b := range verdict.Breaches {
			t.Errorf("seed %d: %s", seed, b)
		}
		events := run.Recorder.Events()
		late := slices.ContainsFunc(events, func(e load.Event) bool {
			return e.Operation == load.Write && e.Outcome == load.Acknowledged && e.Sent > length-time.Second
		})
		if !late {
			t.Errorf("seed %d: got no acknowledged write in the last second, want some", seed)
		}
		t.Logf("seed %d: acknowledged %d writes", seed, verdict.AcknowledgedWrites)
	})
}
