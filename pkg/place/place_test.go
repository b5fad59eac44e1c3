package place

import (
	"fmt"
	"testing"

	"siskintray.example/siskin"
)

// TestRankMovesOnlyTheRemovedMember guards against a removal that moves
// resources between the remaining VMs.
func TestRankMovesOnlyTheRemovedMember(t *testing.T) {
	var vms []siskin.VM
	for i := range 7 {
		vms = append(vms, siskin.VM{ID: siskin.VMID(fmt.Sprintf("vm-%d", i))})
	}
	removed := vms[3].ID
	rest := append(append([]siskin.VM{}, vms[:3]...), vms[4:]...)
	for i := range 1000 {
		resource := fmt.Sprintf("slot-%d", i)
		before, _ := Best(resource, vms)
		after, _ := Best(resource, rest)
		if before.ID != removed && before.ID != after.ID {
			t.Fatalf("%s: got %s after removing %s, want %s", resource, after.ID, removed, before.ID)
		}
		if got, want := Rank(resource, vms)[0].ID, before.ID; got != want {
			t.Fatalf("%s: Rank starts with %s, want %s", resource, got, want)
		}
	}
}
