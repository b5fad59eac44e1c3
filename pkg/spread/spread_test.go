package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/invar"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// maxSpread is the stated time until a change is in force everywhere.
const maxSpread = 9 * time.Second

func failOnViolation(t *testing.T) {
	t.Helper()
	t.Cleanup(invar.OnViolation(func(name, detail string) { t.Errorf("invariant %s: %s", name, detail) }))
}

func (w *world) apply(t *testing.T, id siskin.VMID, name string, rate float64) siskin.Revision {
	t.Helper()
	v := w.vms[id]
	revision, err := v.Apply(context.Background(), customer(v.Revision(), name, rate))
	if err != nil {
		t.Fatalf("Apply: %v", err)
	}
	return revision
}

// TestRestartWhilePlatformIsDown guards against a VM that starts without a
// configuration, or with an older one, because it asks the platform only.
func TestRestartWhilePlatformIsDown(t *testing.T) {
	failOnViolation(t)
	w := newWorld(t, "a", "a", "b", "b")
	var last siskin.Revision
	for i := range 3 {
		last = w.apply(t, "vm-0", fmt.Sprintf("c-%d", i), 5)
	}
	w.awaitAll(t, last, maxSpread)
	w.set(func() { w.down["a"], w.down["b"] = true, true })
	w.restart("vm-3")
	w.awaitAll(t, last, maxSpread)
	if _, ok := w.vms["vm-3"].Customer("c-1"); !ok {
		t.Error("customer c-1: got none after the restart, want the document")
	}
}

// TestOneDataCentreWithoutPlatform guards against a data centre that hears of
// no change because its watchers are cut off from the platform only.
func TestOneDataCentreWithoutPlatform(t *testing.T) {
	failOnViolation(t)
	w := newWorld(t, "a", "a", "b", "b", "c")
	w.set(func() { w.down["b"] = true })
	w.awaitAll(t, w.apply(t, "vm-0", "c", 5), maxSpread)
}

// TestRacingOperators guards against two operators whose changes of one
// document both succeed, and against a refused change that is visible.
func TestRacingOperators(t *testing.T) {
	failOnViolation(t)
	w := newWorld(t, "a", "b")
	base := w.apply(t, "vm-0", "c", 1)
	w.awaitAll(t, base, maxSpread)
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i := range errs {
		wg.Go(func() {
			v := w.vms[siskin.VMID(fmt.Sprintf("vm-%d", i))]
			_, errs[i] = v.Apply(context.Background(), customer(base, "c", float64(10+i)))
		})
	}
	wg.Wait()
	won := 0
	for i, err := range errs {
		switch {
		case err == nil:
			won = 10 + i
		case siskin.KindOf(err) != siskin.Conflict:
			t.Errorf("loser: got %v, want kind Conflict", err)
		}
	}
	if (errs[0] == nil) == (errs[1] == nil) {
		t.Fatalf("errors: got %v and %v, want exactly one", errs[0], errs[1])
	}
	w.awaitAll(t, base+1, maxSpread)
	for id, v := range w.vms {
		doc, _ := v.Customer("c")
		if got, want := doc.Rate, siskin.RequestsPerSecond(won); got != want {
			t.Errorf("%s: got rate %v, want %v", id, got, want)
		}
	}
}

// TestFoldedChanges guards against a snapshot that lacks a change, and against
// a VM that cannot start from it.
func TestFoldedChanges(t *testing.T) {
	failOnViolation(t)
	w := newWorld(t, "a", "b")
	var last siskin.Revision
	for i := range 2*maxRecent + 5 {
		last = w.apply(t, "vm-0", fmt.Sprintf("c-%d", i), float64(i+1))
	}
	w.awaitAll(t, last, maxSpread)
	for began := time.Now(); w.folded(t) == 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > maxSpread {
			t.Fatalf("folded changes: got 0 after %v, want some", maxSpread)
		}
	}
	// A VM alone with the platform has nothing but the snapshot and the head.
	w.set(func() { w.cut[[2]siskin.DataCentreID{"b", "a"}] = true })
	w.restart("vm-1")
	w.awaitAll(t, last, maxSpread)
	for i := range 2*maxRecent + 5 {
		doc, ok := w.vms["vm-1"].Customer(siskin.CustomerID(fmt.Sprintf("c-%d", i)))
		if !ok || doc.Rate != siskin.RequestsPerSecond(i+1) {
			t.Fatalf("customer c-%d: got %v, %v, want rate %d", i, doc, ok, i+1)
		}
	}
}

// folded returns the revision up to which changes are in the snapshot.
func (w *world) folded(t *testing.T) siskin.Revision {
	t.Helper()
	o, err := w.vms["vm-0"].Get(context.Background(), headName)
	if err != nil {
		t.Fatal(err)
	}
	h, err := decodeHead(o)
	if err != nil {
		t.Fatal(err)
	}
	return h.Folded
}

// TestRandomFaults guards against a revision that reverts, an accepted change
// that is lost and a refused one that shows up, under partitions, outages of
// the platform, restarts and racing operators.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { randomFaults(t, seed) })
	}
}

func randomFaults(t *testing.T, seed uint64) {
	failOnViolation(t)
	r := rand.New(rand.NewPCG(seed, 1))
	places := []siskin.DataCentreID{"a", "b", "c"}
	w := newWorld(t, "a", "a", "b", "b", "c", "c")
	accepted := make(map[siskin.Revision]float64)
	var newest siskin.Revision
	for i := range 150 {
		id := siskin.VMID(fmt.Sprintf("vm-%d", r.IntN(6)))
		x, y := places[r.IntN(3)], places[r.IntN(3)]
		switch r.IntN(8) {
		case 0:
			w.restart(id)
		case 1:
			w.set(func() { w.down[x] = !w.down[x] })
		case 2:
			w.set(func() { w.cut[[2]siskin.DataCentreID{x, y}] = x != y && !w.cut[[2]siskin.DataCentreID{x, y}] })
		default:
			v := w.vms[id]
			revision, err := v.Apply(context.Background(), customer(v.Revision(), "c", float64(i+1)))
			if err == nil {
				accepted[revision], newest = float64(i+1), max(newest, revision)
			}
		}
		time.Sleep(time.Duration(r.IntN(3)) * time.Millisecond)
	}
	w.set(func() { clear(w.down); clear(w.cut) })
	took := w.awaitAll(t, newest, maxSpread)
	if len(accepted) == 0 {
		t.Fatal("accepted changes: got 0, want some")
	}
	for id, v := range w.vms {
		doc, ok := v.Customer("c")
		if want := siskin.RequestsPerSecond(accepted[newest]); !ok || doc.Rate != want || v.Revision() != newest {
			t.Errorf("%s: got %v at revision %d, want rate %v at %d", id, doc, v.Revision(), want, newest)
		}
	}
	t.Logf("seed %d: %d changes accepted, all in force %v after the faults", seed, len(accepted), took)
}
