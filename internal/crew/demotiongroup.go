package crew

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// demotionGroup describes the VMs that share resources with a VM: those of its data
// centre of the same or a higher tier, without fully demoted ones, or all tiers
// of the data centre when it is the only one left of its tier. Together they
// are demoted for at most half of their resources. When most VMs of a data
// centre are overloaded, moves of homes add load and help none of them.
type demotionGroup struct {
	size int
	// others is the sum of the demotions of the other VMs, and before the sum of
	// those with a lower id.
	others, before siskin.Demotion
}

// newDemotionGroup returns the group of a VM in a list of live VMs.
func newDemotionGroup(self siskin.VM, live []siskin.VM) demotionGroup {
	c := countDemotionGroup(self, live, place.Tier(self.Capacity))
	if c.size == 1 {
		c = countDemotionGroup(self, live, 0)
	}
	return c
}

func countDemotionGroup(self siskin.VM, live []siskin.VM, minTier int) demotionGroup {
	c := demotionGroup{size: 1}
	for i := range live {
		vm := &live[i]
		if vm.DataCentre != self.DataCentre || vm.ID == self.ID || vm.Demotion == siskin.FullyDemoted || place.Tier(vm.Capacity) < minTier {
			continue
		}
		c.size++
		c.others += vm.Demotion
		if vm.ID < self.ID {
			c.before += vm.Demotion
		}
	}
	return c
}

// allows reports whether this VM may have a demotion.
func (c demotionGroup) allows(d siskin.Demotion) bool { return c.size > 1 && int(c.others+d) <= c.size }

// exceededBy reports whether this VM must return from a demotion because
// several VMs raised theirs at the same time, and those with lower ids stay
// demoted.
func (c demotionGroup) exceededBy(d siskin.Demotion) bool {
	return c.size == 1 || int(c.before+d) > c.size
}
