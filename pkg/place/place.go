// Package place ranks VMs for a resource by rendezvous hashing, so that VMs
// with the same member list agree without communication, and the removal of a
// member moves only the resources of that member.
package place

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskintray.example/siskin"
)

// Score returns the rendezvous weight of a VM, or of a member of another set,
// for the named resource.
func Score[ID ~string](resource string, member ID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(resource) // a Digest never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(member))
	return d.Sum64()
}

// Best returns the first VM in the order of Rank.
func Best(resource string, vms []siskin.VM) (siskin.VM, bool) {
	var best siskin.VM
	for i, vm := range vms {
		if i == 0 || compare(resource, vm, best) < 0 {
			best = vm
		}
	}
	return best, len(vms) > 0
}

// Rank returns the VMs ordered by Tier and then by their weight for the
// resource, highest first. VMs of a lower tier come last: when a resource was
// placed on a VM with a quarter of the processor capacity of another, each
// request for the resource had to wait for that VM.
func Rank(resource string, vms []siskin.VM) []siskin.VM {
	sortKeys := make([]sortKey, len(vms))
	for i, vm := range vms {
		sortKeys[i] = sortKey{Tier(vm.Capacity), Score(resource, vm.ID), i}
	}
	slices.SortFunc(sortKeys, func(a, b sortKey) int {
		return cmp.Or(cmp.Compare(b.tier, a.tier), cmp.Compare(b.score, a.score), cmp.Compare(vms[a.index].ID, vms[b.index].ID))
	})
	ranked := make([]siskin.VM, len(vms))
	for i, k := range sortKeys {
		ranked[i] = vms[k.index]
	}
	return ranked
}

// sortKey is the sort key of a VM; index is its position in the unsorted list.
type sortKey struct {
	tier  int
	score uint64
	index int
}

func compare(resource string, a, b siskin.VM) int {
	return cmp.Or(
		cmp.Compare(Tier(b.Capacity), Tier(a.Capacity)),
		cmp.Compare(Score(resource, b.ID), Score(resource, a.ID)),
		cmp.Compare(a.ID, b.ID),
	)
}

// Tier returns the order of magnitude of a capacity, in powers of two, so that
// resources are spread evenly over VMs of about the same size.
func Tier(c siskin.Millicores) int { return bits.Len64(uint64(max(c, 0))) }

// PreferDataCentre returns the VMs in the given data centre, or all VMs if there
// are none in it.
func PreferDataCentre(dc siskin.DataCentreID, vms []siskin.VM) []siskin.VM {
	var local []siskin.VM
	for _, vm := range vms {
		if vm.DataCentre == dc {
			local = append(local, vm)
		}
	}
	if len(local) == 0 {
		return vms
	}
	return local
}
