package quota

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// owners returns the VMs that hold the pools of a customer, this VM's own pool
// first. A customer has one pool while each VM keeps a usable part of its share,
// and two in different data centres when all shares are lent, so that the loss
// of one owner leaves half of the rate.
func (l *Limiter) owners(customer siskin.CustomerID, kept float64) []siskin.VMID {
	list := l.ranker.Rank("rate/"+string(customer), l.cfg.Members.Live(), l.chooseOwners)
	if len(list) == 0 {
		return nil
	}
	if kept > 0 || len(list) == 1 {
		return []siskin.VMID{list[0].ID}
	}
	first, second := list[0], list[1]
	for _, vm := range list[1:] {
		if vm.DataCentre != first.DataCentre {
			second = vm
			break
		}
	}
	if place.Score("pool/"+string(customer), l.cfg.Members.Self().ID)%2 == 1 {
		first, second = second, first
	}
	return []siskin.VMID{first.ID, second.ID}
}

const (
	// minOwners is the number of VMs that hold pools in a small fleet. Every holder
	// of shares exchanges loans with each of them several times a second.
	minOwners = 8
	// vmsPerOwner is the number of VMs for each owner in a larger one, whose
	// requests ask it for tokens. Their number doubles, so that it does not change
	// with each VM that comes or goes.
	vmsPerOwner = 10
	maxOwners   = 32
)

// chooseOwners returns the VMs that hold the pools of all customers.
func (l *Limiter) chooseOwners(live []siskin.VM) []siskin.VM {
	n := minOwners
	for n < maxOwners && len(live) >= 2*n*vmsPerOwner {
		n *= 2
	}
	if len(live) <= n {
		return live
	}
	return place.Rank("rates", live)[:n]
}

// Owners returns the ids of the VMs that hold pools.
func (l *Limiter) Owners() []siskin.VMID {
	var ids []siskin.VMID
	for _, vm := range l.ranker.Rank("rates", l.cfg.Members.Live(), l.chooseOwners) {
		ids = append(ids, vm.ID)
	}
	return ids
}
