package spread

import (
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/keys"
	"siskintray.example/siskin/pkg/place"
)

// testProofTracker tracks the proofs of a VM in a fleet of three data centres.
type testProofTracker struct{ *keys.Tracker }

func (e testProofTracker) now() keys.Evidence {
	return e.Evidence([]siskin.DataCentreID{"a", "b", "c"})
}

// Age implements ProofTracker.
func (e testProofTracker) Age(now time.Time) time.Duration {
	if last := e.now().Last(); !last.IsZero() {
		return now.Sub(last)
	}
	return -1
}

// eventually fails the test unless ok becomes true for all VMs within
// maxSpreadTime.
func eventually(t *testing.T, what string, all []*node, ok func(n *node) bool) {
	t.Helper()
	begun := time.Now()
	for _, n := range all {
		for !ok(n) {
			if time.Since(begun) > maxSpreadTime {
				t.Fatalf("%s: not reached at %s after %v", what, n.vm.ID, maxSpreadTime)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// TestProofs guards against a VM that gets no proof from peers while it cannot
// reach the platform, a watcher that does not detect that the platform is down
// for all data centres, and one that reports this although a data centre
// reaches the platform.
func TestProofs(t *testing.T) {
	t.Parallel()
	platform, f, _ := startFleet(t, 0)
	f.dataCentres = []siskin.DataCentreID{"a", "b", "c"}
	evidence := make(map[siskin.VMID]testProofTracker)
	f.options = func(vm siskin.VM) []Option {
		evidence[vm.ID] = testProofTracker{keys.NewTracker(vm.DataCentre)}
		return []Option{WithProofTracker(evidence[vm.ID])}
	}
	for i := range 9 {
		f.start(t, platform, i, fastConfig())
	}
	all := f.all()
	waitForRevision(t, all, mustApply(t, all[0], setTarget("op-1", "s", "one")), maxSpreadTime)
	var watchers, others, cutOffWatchers []*node
	for _, n := range all {
		if _, ok := n.watcherRank(); !ok {
			n.platformCutOff.Store(true)
			others = append(others, n)
			continue
		}
		watchers = append(watchers, n)
		if n.vm.DataCentre != "c" {
			cutOffWatchers = append(cutOffWatchers, n)
		}
	}
	if got, want := len(others), 3; got != want {
		t.Fatalf("VMs that are no watchers: got %d, want %d", got, want)
	}
	since := time.Now()
	eventually(t, "proof through peers", others, func(n *node) bool { return evidence[n.vm.ID].now().CurrentAt.After(since) })
	eventually(t, "platform up", watchers, func(n *node) bool { return !n.PlatformDown() })

	for _, n := range watchers {
		n.platformCutOff.Store(true)
	}
	since = time.Now()
	eventually(t, "platform down for all", watchers, func(n *node) bool {
		return n.PlatformDown() && evidence[n.vm.ID].now().PlatformDownAt.After(since)
	})

	for _, n := range watchers {
		n.platformCutOff.Store(n.vm.DataCentre != "c")
	}
	eventually(t, "platform up in one data centre", cutOffWatchers, func(n *node) bool { return evidence[n.vm.ID].now().PlatformDownAt.IsZero() })
	for end := time.Now().Add(10 * fastConfig().ExchangeInterval); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, n := range cutOffWatchers {
			if got := evidence[n.vm.ID].now().PlatformDownAt; !n.PlatformDown() || !got.IsZero() {
				t.Fatalf("%s: got platform down %v and down for all at %v, want true and never", n.vm.ID, n.PlatformDown(), got)
			}
		}
	}
}

// TestFirstProof guards against a new VM that refuses all keys because the peer
// of its first exchange has no proof yet.
func TestFirstProof(t *testing.T) {
	platform, f, _ := startFleet(t, 0)
	f.dataCentres = []siskin.DataCentreID{"a"}
	tracker := testProofTracker{keys.NewTracker("a")}
	ranked := place.Rank(watcherResource, []siskin.VM{{ID: "vm-0"}, {ID: "vm-1"}, {ID: "vm-2"}})
	for i, vm := range ranked {
		if i == watcherCount { // the earlier VMs are watchers without a proof
			f.options = func(siskin.VM) []Option { return []Option{WithProofTracker(tracker)} }
		}
		f.start(t, platform, int(vm.ID[3]-'0'), Config{ExchangeInterval: time.Hour})
	}
	last := f.all()[watcherCount:]
	if _, ok := last[0].watcherRank(); ok {
		t.Fatalf("%s is a watcher, want another VM", last[0].vm.ID)
	}
	eventually(t, "proof after the start", last, func(*node) bool { return !tracker.now().CurrentAt.IsZero() })
}
