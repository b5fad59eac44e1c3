package place

import (
	"slices"

	"siskintray.example/siskin"
)

// Demoted reports whether a VM is ranked behind others of its data centre for a
// resource. The half of the resources for which a VM is demoted first differs
// between VMs, so that two overloaded VMs do not exchange all their resources.
func Demoted(resource string, vm siskin.VM) bool {
	switch vm.Demotion {
	case siskin.NotDemoted:
		return false
	case siskin.HalfDemoted:
		return Score(resource, vm.ID)&1 == 0
	default:
		return true
	}
}

// Demote moves the VMs that are demoted for a resource behind the other VMs of
// their data centre. The positions of each data centre in the ranked list stay,
// and so does the order among its demoted VMs and among its others. Without
// demoted VMs the result is the list itself.
func Demote(resource string, ranked []siskin.VM) []siskin.VM {
	if !slices.ContainsFunc(ranked, func(vm siskin.VM) bool { return Demoted(resource, vm) }) {
		return ranked
	}
	inOrder := make(map[siskin.DataCentreID][]siskin.VM)
	for _, demoted := range []bool{false, true} {
		for _, vm := range ranked {
			if Demoted(resource, vm) == demoted {
				inOrder[vm.DataCentre] = append(inOrder[vm.DataCentre], vm)
			}
		}
	}
	list := make([]siskin.VM, len(ranked))
	for i, vm := range ranked {
		next := inOrder[vm.DataCentre]
		list[i], inOrder[vm.DataCentre] = next[0], next[1:]
	}
	return list
}
