package quota

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// owner returns the VM that holds the pool of a customer.
func (l *Limiter) owner(customer siskin.CustomerID) (siskin.VMID, bool) {
	list := l.ranker.Rank("rate/"+string(customer), l.cfg.Members.Live(), l.chooseOwners)
	if len(list) == 0 {
		return "", false
	}
	return list[0].ID, true
}

// maxOwners bounds the VMs that hold pools, since every VM exchanges loans with
// each of them several times a second.
const maxOwners = 8

// chooseOwners returns the VMs that hold the pools of all customers.
func (l *Limiter) chooseOwners(live []siskin.VM) []siskin.VM {
	if len(live) <= maxOwners {
		return live
	}
	return place.Rank("rates", live)[:maxOwners]
}

// Owners returns the ids of the VMs that hold pools.
func (l *Limiter) Owners() []siskin.VMID {
	var ids []siskin.VMID
	for _, vm := range l.ranker.Rank("rates", l.cfg.Members.Live(), l.chooseOwners) {
		ids = append(ids, vm.ID)
	}
	return ids
}
