package node

import (
	"slices"
	"sync"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/place"
)

// ranker ranks this VM among the VMs that watch one group. The rank is kept
// until the view of the fleet changes: a group asks at every answer of a
// target, and to work it out again took a sixth of the control's processor
// time with 24 groups.
type ranker struct {
	self    siskin.VMID
	homes   *homes
	service *config.Service

	mu    sync.Mutex
	table *homeTable // the view of the fleet that value belongs to
	value int
}

func (r *ranker) rank() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.homes.current(); t != r.table {
		ranked := place.Rank("Group/"+string(r.service.Name), r.homes.ofService(r.service))
		r.value = max(0, slices.IndexFunc(ranked, func(vm siskin.VM) bool { return vm.ID == r.self }))
		r.table = t
	}
	return r.value
}
