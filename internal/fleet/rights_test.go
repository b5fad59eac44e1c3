package fleet

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/load"
	"siskintray.example/siskin/internal/soak"
)

// TestRightsOfDeadVM guards against rights of a dead VM that never return to
// use, and measures the time from its end, at the moment of which the platform
// lists it as gone, until the others hold the whole right of every customer.
// With SISKIN_SOAK it repeats the measurement on fleets that ran for a while,
// since VMs that start together also read the platform's list together.
func TestRightsOfDeadVM(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a fleet and waits for reads of the platform's list")
	}
	length := soak.RunDuration(0)
	if length == 0 {
		rightsOfDeadVM(t, 0)
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		rightsOfDeadVM(t, 15*time.Second+rand.N(10*time.Second))
	}
}

func rightsOfDeadVM(t *testing.T, age time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	f, err := Start(ctx, load.Syntyma())
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := f.wait(ctx, "all rights granted", func() bool { return f.heldBy(f.VMs) }); err != nil {
		t.Fatal(err)
	}
	time.Sleep(age)
	dead, others := f.VMs[0], f.VMs[1:]
	for _, vm := range f.VMs[1:] { // the VM that holds most
		if vm.Units(f.Profile.Customers[0].ID) > dead.Units(f.Profile.Customers[0].ID) {
			dead = vm
		}
	}
	var left []*VM
	for _, vm := range append(others, f.VMs[0]) {
		if vm != dead {
			left = append(left, vm)
		}
	}
	held := dead.Units(f.Profile.Customers[0].ID)
	dead.Kill()
	dead.MarkGone()
	start := time.Now()
	if err := f.wait(ctx, "rights of the dead VM in use", func() bool { return f.heldBy(left) }); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d VMs: %.0f%% of the right of %s returned to use after %v",
		len(f.VMs), 100*float64(held)/float64(siskin.TotalQuotaUnits), f.Profile.Customers[0].ID, time.Since(start).Round(10*time.Millisecond))
}

// heldBy reports whether the VMs hold the whole right of every customer.
func (f *Fleet) heldBy(vms []*VM) bool {
	for _, c := range f.Profile.Customers {
		var sum siskin.QuotaUnits
		for _, vm := range vms {
			sum += vm.Units(c.ID)
		}
		if sum != siskin.TotalQuotaUnits {
			return false
		}
	}
	return true
}
