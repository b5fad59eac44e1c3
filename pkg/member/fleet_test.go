package member

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/soak"
	"siskintray.example/siskin/pkg/invar"
)

var (
	seed = flag.Uint64("seed", 1, "seed of the fleet tests")
	long = flag.Bool("long", false, "simulate 10 minutes at 300 VMs too, in place of 2")
)

// TestMain makes violations of invariants fatal and fixes the seed of
// randomized tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	invar.OnViolation(func(name, detail string) { panic(name + ": " + detail) })
	goleak.VerifyTestMain(m)
}

// simulate runs f with simulated time. The race detector crashes in long
// synctest bubbles (Go 1.26.8, a failed check in tsan_rtl.cpp:346), so with it f
// runs in real time; fleets and times are then smaller.
func simulate(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if raceEnabled {
		f(t)
		return
	}
	synctest.Test(t, f)
}

// TestDeadMember guards against a death that the other VMs detect too late. The
// limit is 3 s for 7 VMs and 6 s for 300.
func TestDeadMember(t *testing.T) {
	for _, tt := range []struct {
		vms, deaths int
		limit       time.Duration
	}{{7, 40, 3 * time.Second}, {300, 4, 6 * time.Second}} {
		if raceEnabled && tt.vms > 7 {
			continue
		} else if raceEnabled {
			tt.deaths = 1
		}
		simulate(t, func(t *testing.T) {
			f := newFakeNetwork(*seed)
			all := startFleet(t, f, tt.vms)
			var total, worst time.Duration
			for k := range tt.deaths {
				time.Sleep(f.random(5 * time.Second))
				victim := k % tt.vms
				f.setPartition(all[victim].cfg.Self.ID, 1)
				others := append(append([]*Members{}, all[:victim]...), all[victim+1:]...)
				took := waitForLive(t, others, tt.vms-1, 30*time.Second)
				total, worst = total+took, max(worst, took)
				f.setPartition(all[victim].cfg.Self.ID, 0)
				waitForLive(t, all, tt.vms, time.Minute)
			}
			t.Logf("seed %d: %d VMs: detected by all after %v on average, %v at most, over %d deaths", *seed, tt.vms, total/time.Duration(tt.deaths), worst, tt.deaths)
			if worst > tt.limit {
				t.Errorf("%d VMs: death detected by all after %v, want at most %v", tt.vms, worst, tt.limit)
			}
		})
	}
}

// TestNoFalseDeath guards against healthy VMs that are declared dead while 1%
// of the messages are lost.
func TestNoFalseDeath(t *testing.T) {
	for _, tt := range []struct {
		vms       int
		simulated time.Duration
	}{{7, 10 * time.Minute}, {300, 10 * time.Minute}} {
		if !*long {
			tt.simulated = min(tt.simulated, time.Duration(420/tt.vms+1)*time.Minute)
		}
		if testing.Short() {
			tt.simulated /= 10
		}
		if raceEnabled && tt.vms > 7 {
			continue
		} else if raceEnabled {
			tt.simulated = 3 * time.Second
		}
		simulate(t, func(t *testing.T) {
			f := newFakeNetwork(*seed)
			all := startFleet(t, f, tt.vms)
			f.setLoss(0.01)
			for range tt.simulated / time.Second {
				time.Sleep(time.Second)
				for _, m := range all {
					if got := len(m.Live()); got != tt.vms {
						t.Fatalf("seed %d: %s sees %d live VMs, want %d", *seed, m.cfg.Self.ID, got, tt.vms)
					}
				}
			}
			suspicions := uint64(0)
			for _, m := range all {
				m.mu.Lock()
				suspicions += m.core.self.Refutations
				m.mu.Unlock()
			}
			t.Logf("seed %d: %d VMs, %v: no false death, %d suspicions refuted", *seed, tt.vms, tt.simulated, suspicions)
		})
	}
}

// TestSoak guards against views that stay wrong after lost messages and deaths: a
// death that is detected late or a running VM that is missing.
func TestSoak(t *testing.T) {
	soak.Each(t, func(t *testing.T, seed uint64) {
		rounds := 5
		if raceEnabled { // in real time
			rounds = 1
		}
		simulate(t, func(t *testing.T) {
			f := newFakeNetwork(seed)
			draws := rand.New(rand.NewPCG(seed, 1)) // the network's generator is guarded by its mutex
			all := startFleet(t, f, 7)
			for range rounds {
				f.setLoss(0.01)
				time.Sleep(time.Duration(draws.Int64N(int64(5 * time.Second))))
				f.setLoss(0)
				victim := draws.IntN(len(all))
				f.setPartition(all[victim].cfg.Self.ID, 1)
				others := append(append([]*Members{}, all[:victim]...), all[victim+1:]...)
				if got, want := waitForLive(t, others, len(all)-1, 30*time.Second), 3*time.Second; got > want {
					t.Errorf("death detected by all after: got %v, want at most %v", got, want)
				}
				f.setPartition(all[victim].cfg.Self.ID, 0)
				waitForLive(t, all, len(all), time.Minute)
			}
		})
	})
}

// TestPartition guards against views that stay different after a partition has
// ended, and against VMs that are declared dead on their own side when the sides
// merge.
func TestPartition(t *testing.T) {
	for _, n := range []int{7, 60} {
		if raceEnabled && n > 7 {
			continue
		}
		simulate(t, func(t *testing.T) {
			f := newFakeNetwork(*seed)
			all := startFleet(t, f, n)
			cut, apart := n/3, 2*time.Minute
			if raceEnabled {
				apart = time.Second
			}
			for _, m := range all[:cut] {
				f.setPartition(m.cfg.Self.ID, 1)
			}
			waitForLive(t, all[:cut], cut, time.Minute)
			waitForLive(t, all[cut:], n-cut, time.Minute)
			time.Sleep(apart)
			for _, m := range all[:cut] {
				f.setPartition(m.cfg.Self.ID, 0)
			}
			lost := ""
			took := waitFor(t, 30*time.Second, func() string {
				for i, m := range all {
					want := n - cut
					if i < cut {
						want = cut
					}
					got := len(m.Live())
					if got < want {
						lost = fmt.Sprintf("%s lost a VM of its own side of the partition", m.cfg.Self.ID)
					}
					if got != n {
						return fmt.Sprintf("%s sees %d of %d VMs", m.cfg.Self.ID, got, n)
					}
				}
				return ""
			})
			t.Logf("seed %d: %d VMs merged after %v", *seed, n, took)
			if lost != "" {
				t.Error(lost)
			}
		})
	}
}

// TestLeave guards against a planned stop that others learn of late or treat as a
// failure, and against records of an earlier run that hide the next run.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeNetwork(*seed)
		all := startFleet(t, f, 7)
		leaving := startVM(f, "vm-7", 1)
		waitForLive(t, all, 8, 10*time.Second)
		if err := leaving.Leave(context.Background()); err != nil {
			t.Fatal(err)
		}
		if took := waitForLive(t, all, 7, 3*time.Second); took > time.Second {
			t.Errorf("leaving known everywhere: got %v, want at most 1 s", took)
		}
		if got, _ := all[0].Lookup("vm-7"); got.State != siskin.VMLeaving {
			t.Errorf("state: got %v, want Leaving", got.State)
		}
		_ = leaving.Close()
		again := startVM(f, "vm-7", 2)
		defer again.Close()
		waitForLive(t, all, 8, 10*time.Second)
	})
}
