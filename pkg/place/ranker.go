package place

import (
	"sync"

	"siskintray.example/siskin"
)

// Ranker caches the ranks of resources until the list of VMs changes. It is safe
// for concurrent use. The zero value is ready to use.
type Ranker struct {
	mu    sync.Mutex
	vms   []siskin.VM
	ranks map[string][]siskin.VM
}

// Rank returns the cached result of the function Rank for the VMs that filter
// returns, or for all VMs if filter is nil. The cache key is the resource alone,
// so a resource always needs the same filter. Lists are compared by identity, so
// a caller must not modify one. The result must not be modified either.
func (r *Ranker) Rank(resource string, vms []siskin.VM, filter func([]siskin.VM) []siskin.VM) []siskin.VM {
	return r.rank(resource, vms, filter, Rank)
}

// RankDemoted is like Rank, and applies Demote to the result. A resource is
// ranked by only one of the two.
func (r *Ranker) RankDemoted(resource string, vms []siskin.VM, filter func([]siskin.VM) []siskin.VM) []siskin.VM {
	return r.rank(resource, vms, filter, func(resource string, vms []siskin.VM) []siskin.VM {
		return Demote(resource, Rank(resource, vms))
	})
}

func (r *Ranker) rank(resource string, vms []siskin.VM, filter func([]siskin.VM) []siskin.VM, order func(string, []siskin.VM) []siskin.VM) []siskin.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.vms) != len(vms) || len(vms) > 0 && &r.vms[0] != &vms[0] {
		r.vms, r.ranks = vms, make(map[string][]siskin.VM)
	}
	if ranked, ok := r.ranks[resource]; ok {
		return ranked
	}
	candidates := vms
	if filter != nil {
		candidates = filter(vms)
	}
	ranked := order(resource, candidates)
	if r.ranks != nil {
		r.ranks[resource] = ranked
	}
	return ranked
}
