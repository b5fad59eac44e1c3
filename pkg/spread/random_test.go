package spread

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/objapi"
)

// outcomes records the results of changes. Each change sets the target address
// of a service to its own operation id.
type outcomes struct {
	mu           sync.Mutex
	results      map[string]error
	lastAccepted map[string]siskin.Revision // latest accepted revision by service
}

// TestRandomFaults guards against revisions that decrease, accepted changes
// that are not in force at a reachable VM within 9 s, and refused changes that
// are visible. Operators are concurrent, and faults are lost responses, outages,
// partitions and restarts. The invariants of the package panic on a violation.
func TestRandomFaults(t *testing.T) {
	rounds := 4
	if testing.Short() {
		rounds = 1
	}
	for round := range rounds {
		rng := rand.New(rand.NewPCG(*seed, uint64(round)))
		platform, f, _ := startFleet(t, 7)
		o := &outcomes{results: make(map[string]error), lastAccepted: make(map[string]siskin.Revision)}
		var operators sync.WaitGroup
		stop := make(chan struct{})
		for i := range 3 {
			operators.Go(func() { o.applyRandomChanges(f, i, round, stop) })
		}
		for range 15 {
			changeRandomFault(t, rng, platform, f)
			time.Sleep(100 * time.Millisecond)
			o.checkVisible(t, f)
		}
		close(stop)
		platform.SetFaults(objapi.Faults{})
		f.setPartitioned(false)
		operators.Wait()
		rev := mustApply(t, f.all()[0], setTarget(fmt.Sprintf("last-%d", round), "last", "last"))
		took := waitForRevision(t, f.all(), rev, maxSpreadTime)
		o.checkVisible(t, f)
		o.checkAccepted(t, f)
		t.Logf("seed %d, round %d: %d changes, revision %d in force everywhere %v after the faults", *seed, round, len(o.results), rev, took)
		f.close()
		_ = platform.Close()
	}
}

// changeRandomFault injects or clears one fault at random.
func changeRandomFault(t *testing.T, rng *rand.Rand, platform *objapi.Server, f *fakeFleet) {
	switch rng.IntN(6) {
	case 0:
		platform.SetFaults(objapi.Faults{LoseShare: 0.3})
	case 1:
		platform.SetFaults(objapi.Faults{Refuse: true})
	case 2:
		platform.SetFaults(objapi.Faults{DelayMs: 30})
	case 3:
		f.mu.Lock()
		f.partitioned = !f.partitioned
		f.mu.Unlock()
	case 4:
		platform.SetFaults(objapi.Faults{})
	case 5:
		i := rng.IntN(7)
		old := f.all()[i]
		f.start(t, platform, i, fastConfig())
		go func() { _ = old.Close(); _ = old.client.Close() }()
	}
}

func (o *outcomes) applyRandomChanges(f *fakeFleet, i, round int, stop chan struct{}) {
	rng := rand.New(rand.NewPCG(*seed, uint64(100*round+i)))
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		op := fmt.Sprintf("op-%d-%d-%d", round, i, n)
		service := fmt.Sprintf("s-%d", rng.IntN(5))
		all := f.all()
		rev, err := all[rng.IntN(len(all))].Apply(withTimeout(500*time.Millisecond), setTarget(op, service, op))
		o.mu.Lock()
		o.results[op] = err
		if err == nil {
			o.lastAccepted[service] = max(o.lastAccepted[service], rev)
		}
		o.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	}
}

// checkVisible fails the test if a refused change is in force at any VM.
func (o *outcomes) checkVisible(t *testing.T, f *fakeFleet) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, n := range f.all() {
		for s := range 5 {
			op := targetAddress(n, fmt.Sprintf("s-%d", s))
			if err := o.results[op]; err != nil && siskin.KindOf(err) != siskin.OutcomeUnknown {
				t.Fatalf("seed %d: %s has %s in force, which was refused: %v", *seed, n.vm.ID, op, err)
			}
		}
	}
}

// checkAccepted fails the test if a VM has an older document than the last
// accepted change made, or if two VMs differ.
func (o *outcomes) checkAccepted(t *testing.T, f *fakeFleet) {
	t.Helper()
	for s := range 5 {
		name := fmt.Sprintf("s-%d", s)
		for _, n := range f.all() {
			e := n.get(key{ServiceKind, name})
			if o.lastAccepted[name] > 0 && (e == nil || e.Revision < o.lastAccepted[name]) {
				t.Fatalf("seed %d: %s lacks revision %d of %s", *seed, n.vm.ID, o.lastAccepted[name], name)
			}
			if got, want := targetAddress(n, name), targetAddress(f.all()[0], name); got != want {
				t.Fatalf("seed %d: %s has %q for %s, another VM %q", *seed, n.vm.ID, got, name, want)
			}
		}
	}
}
