package quota

import (
	"slices"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

const (
	// defaultPools is the number of pools of a customer whose shares are lent
	// whole, and largeBurstPools the number for a burst of largeBurst or more.
	// A smaller burst has fewer pools because a pool with less than one token
	// admits nothing.
	defaultPools, largeBurstPools = 2, 4
	largeBurst                    = 16
)

// owners returns the VMs that own the pools of a customer, starting with the
// pool that this VM uses. A customer has one pool while each holder keeps a
// usable part of its share. When the shares are lent whole, it has several in
// different data centres, so that the loss of one owner leaves most of the
// rate. Pools of overloaded owners are owned by others of their data centre; the
// set of owners stays, since all holders exchange loans with it.
func (l *Limiter) owners(customer siskin.CustomerID, burst, keptFraction float64) []siskin.VMID {
	live := l.cfg.Members.Live()
	list := l.ranker.RankDemoted("rate/"+string(customer), live, func([]siskin.VM) []siskin.VM { return l.ownerSet(live) })
	if len(list) == 0 {
		return nil
	}
	if keptFraction > 0 || len(list) == 1 {
		return []siskin.VMID{list[0].ID}
	}
	n := defaultPools
	if burst >= largeBurst {
		n = largeBurstPools
	}
	ids := spreadOverDataCentres(list, n)
	at := int(place.Score("pool/"+string(customer), l.cfg.Members.Self().ID) % uint64(len(ids)))
	return append(ids[at:len(ids):len(ids)], ids[:at]...)
}

// spreadOverDataCentres returns the ids of n VMs from a ranked list. It takes
// the first VM of each data centre before it takes a second one of any.
func spreadOverDataCentres(list []siskin.VM, n int) []siskin.VMID {
	n = min(n, len(list))
	ids := make([]siskin.VMID, 0, n)
	seen := make(map[siskin.DataCentreID]bool)
	for _, vm := range list {
		if len(ids) < n && !seen[vm.DataCentre] {
			seen[vm.DataCentre] = true
			ids = append(ids, vm.ID)
		}
	}
	for _, vm := range list {
		if len(ids) < n && !slices.Contains(ids, vm.ID) {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

const (
	// minOwners is the number of pool owners in a small fleet. Every holder of
	// a share exchanges loans with each of them several times a second.
	minOwners = 8
	// vmsPerOwner is the number of VMs that one owner serves with tokens in a
	// larger fleet. The number of owners doubles each time, so that it doesn't
	// change with every VM that joins or leaves.
	vmsPerOwner = 10
	maxOwners   = 32
)

// chooseOwners returns the VMs that own the pools of all customers.
func chooseOwners(live []siskin.VM) []siskin.VM {
	n := minOwners
	for n < maxOwners && len(live) >= 2*n*vmsPerOwner {
		n *= 2
	}
	if len(live) <= n {
		return live
	}
	return place.Rank("rates", live)[:n]
}

// ownerSet returns the VMs that own the pools of all customers. It is cached
// separately from the ranks per customer: computing it for each of 190
// customers at every change of a fleet of 295 VMs kept the owners' processors
// so busy that they answered no requests for tokens.
func (l *Limiter) ownerSet(live []siskin.VM) []siskin.VM {
	return l.ownerRanker.Rank("rates", live, l.choose)
}

// PoolOwners returns the ids of the VMs that own pools.
func (l *Limiter) PoolOwners() []siskin.VMID {
	var ids []siskin.VMID
	for _, vm := range l.ownerSet(l.cfg.Members.Live()) {
		ids = append(ids, vm.ID)
	}
	return ids
}
