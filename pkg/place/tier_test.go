package place

import (
	"fmt"
	"testing"

	"siskintray.example/siskin"
)

// TestTiers guards against resources that are placed on the small VMs of a mixed
// fleet, and against an uneven spread over its large VMs.
func TestTiers(t *testing.T) {
	var vms []siskin.VM
	for i := range 50 {
		vm := siskin.VM{ID: siskin.VMID(fmt.Sprintf("vm-%d", i)), Capacity: 192}
		if i%16 == 0 {
			vm.Capacity = 800
		}
		vms = append(vms, vm)
	}
	count := make(map[siskin.VMID]int)
	for i := range 4000 {
		resource := fmt.Sprintf("target-%d", i)
		best, _ := Best(resource, vms)
		count[best.ID]++
		if got := Rank(resource, vms)[0].ID; got != best.ID {
			t.Fatalf("%s: Rank starts with %s, want %s", resource, got, best.ID)
		}
	}
	for _, vm := range vms {
		got := count[vm.ID]
		if small := vm.Capacity < 800; small && got > 0 || !small && (got < 800 || got > 1200) {
			t.Errorf("resources of %s with capacity %d: got %d of 4000", vm.ID, vm.Capacity, got)
		}
	}
	if a, b := Tier(400), Tier(284); a != b {
		t.Errorf("tiers of about the same size: got %d and %d, want the same", a, b)
	}
}
