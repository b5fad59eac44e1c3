package quota

import (
	"fmt"
	"testing"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/boot"
)

// changingFleet is a fleet whose list of VMs is replaced by change.
type changingFleet struct{ live []siskin.VM }

func (c *changingFleet) Self() siskin.VM                      { return c.live[0] }
func (c *changingFleet) Live() []siskin.VM                    { return c.live }
func (c *changingFleet) Lookup(siskin.VMID) (siskin.VM, bool) { return siskin.VM{}, false }
func (c *changingFleet) Changed() <-chan struct{}             { return nil }
func (c *changingFleet) change()                              { c.live = append([]siskin.VM(nil), c.live...) }

func largeFleet() *changingFleet {
	c := &changingFleet{}
	for i := range 295 {
		vm := siskin.VM{ID: siskin.VMID(fmt.Sprintf("vm-%03d", i)), DataCentre: siskin.DataCentreID(fmt.Sprint("dc-", i%6)), Capacity: 192}
		if i < 18 {
			vm.Capacity = 800
		}
		c.live = append(c.live, vm)
	}
	return c
}

// TestOwnersAfterChange guards against choosing the owners again for each
// customer when the list of VMs changes. A rolling restart changes it many
// times a second, and the owners had no time left to answer other VMs.
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
			if got := len(l.owners(siskin.CustomerID(fmt.Sprint("c-", i)), largeBurst, 0)); got != largeBurstPools {
				t.Fatalf("pools of a customer: got %d, want %d", got, largeBurstPools)
			}
		}
	}
	if chosen != changes {
		t.Errorf("choices of the owners for %d customers and %d changes: got %d, want one a change", customers, changes, chosen)
	}
}
