package quota

import (
	"fmt"
	"testing"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
)

// changing is a fleet whose list changes when told.
type changing struct{ live []siskin.VM }

func (c *changing) Self() siskin.VM                      { return c.live[0] }
func (c *changing) Live() []siskin.VM                    { return c.live }
func (c *changing) Lookup(siskin.VMID) (siskin.VM, bool) { return siskin.VM{}, false }
func (c *changing) Changed() <-chan struct{}             { return nil }
func (c *changing) change()                              { c.live = append([]siskin.VM(nil), c.live...) }

func largeFleet() *changing {
	c := &changing{}
	for i := range 295 {
		vm := siskin.VM{ID: siskin.VMID(fmt.Sprintf("vm-%03d", i)), DataCentre: siskin.DataCentreID(fmt.Sprint("dc-", i%6)), Capacity: 192}
		if i < 18 {
			vm.Capacity = 800
		}
		c.live = append(c.live, vm)
	}
	return c
}

// TestOwnersAfterChange guards against owners of pools that are chosen anew for
// each customer when the list of VMs changes: a rolling restart changes it many
// times a second, and the VMs that hold pools answered nobody meanwhile.
func TestOwnersAfterChange(t *testing.T) {
	fleet := largeFleet()
	l := New(Config{Clock: boot.Clock{}, Members: fleet})
	chosen := 0
	l.choose = func(live []siskin.VM) []siskin.VM {
		chosen++
		return chooseOwners(live)
	}
	const changes, customers = 20, 190
	for range changes {
		fleet.change()
		for i := range customers {
			if got := len(l.owners(siskin.CustomerID(fmt.Sprint("c-", i)), manyBurst, 0)); got != manyPools {
				t.Fatalf("pools of a customer: got %d, want %d", got, manyPools)
			}
		}
	}
	if chosen != changes {
		t.Errorf("choices of the owners for %d customers and %d changes: got %d, want one a change", customers, changes, chosen)
	}
}
