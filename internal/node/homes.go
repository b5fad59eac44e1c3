package node

import (
	"strconv"
	"sync/atomic"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/place"
	"siskintray.example/siskin/pkg/shard"
)

// homes maps slots to the VMs that own them. Results are cached until the view
// of the fleet changes, since every transaction needs one.
type homes struct {
	members siskin.Members
	table   atomic.Pointer[homeTable]
}

type homeTable struct {
	changed <-chan struct{}
	live    []siskin.VM
	owners  *shard.Map[pool.Key, siskin.VM]
	// ranks holds the homes of services by rank. The key is the document, so a
	// changed service has a new entry; outdated entries are freed with the table.
	ranks *shard.Map[*config.Service, []siskin.VM]
}

func newHomes(members siskin.Members) *homes {
	h := &homes{members: members}
	h.table.Store(h.newTable())
	return h
}

// newTable takes the channel before the list, so that a change between the two
// is noticed at the next call of current.
func (h *homes) newTable() *homeTable {
	changed := h.members.Changed()
	return &homeTable{
		changed: changed, live: h.members.Live(),
		owners: shard.New[pool.Key, siskin.VM](), ranks: shard.New[*config.Service, []siskin.VM](),
	}
}

func (h *homes) current() *homeTable {
	t := h.table.Load()
	select {
	case <-t.changed:
		t = h.newTable()
		h.table.Store(t)
	default:
	}
	return t
}

// of returns the VM that owns a slot of a target.
func (h *homes) of(target config.Target, slot siskin.Slot) (siskin.VM, bool) {
	t := h.current()
	key := pool.Key{Target: target.ID, Slot: slot}
	if vm, ok := t.owners.Get(key); ok {
		return vm, true
	}
	vm, ok := place.Best(slotResource(key), place.PreferDataCentre(target.DataCentre, t.live))
	if ok {
		t.owners.Put(key, vm)
	}
	return vm, ok
}

// ofService returns the homes of the service: the VMs that own a slot of any of
// its targets. They watch its group.
func (h *homes) ofService(s *config.Service) []siskin.VM { return ownersOfSlots(s, h.of) }

// HomesAmong returns those of the given VMs that would own a slot of any target
// of the service if no others were live.
func HomesAmong(s *config.Service, vms []siskin.VM) []siskin.VM {
	return ownersOfSlots(s, func(target config.Target, slot siskin.Slot) (siskin.VM, bool) {
		return place.Best(slotResource(pool.Key{Target: target.ID, Slot: slot}), place.PreferDataCentre(target.DataCentre, vms))
	})
}

func ownersOfSlots(s *config.Service, owner func(config.Target, siskin.Slot) (siskin.VM, bool)) []siskin.VM {
	var vms []siskin.VM
	seen := make(map[siskin.VMID]bool)
	for _, t := range s.Targets {
		for slot := range s.Slots {
			vm, ok := owner(t, siskin.Slot(slot))
			if ok && !seen[vm.ID] {
				seen[vm.ID] = true
				vms = append(vms, vm)
			}
		}
	}
	return vms
}

// watcherCount is the number of VMs that probe the targets of a group all the
// time. When one fails, the other still detects a failure of the primary.
const watcherCount = 2

// rankedHomes returns the homes of the service in the order in which they act
// on its group. The first two are its watchers, in two data centres when the
// homes are in several. The caller must not modify the slice, which is cached
// because each event of a group needs it.
func (h *homes) rankedHomes(s *config.Service) []siskin.VM {
	t := h.current()
	if ranked, ok := t.ranks.Get(s); ok {
		return ranked
	}
	ranked := place.Rank("Group/"+string(s.Name), h.ofService(s))
	for i := 1; i < len(ranked); i++ {
		if ranked[i].DataCentre != ranked[0].DataCentre {
			other := ranked[i]
			copy(ranked[2:i+1], ranked[1:i])
			ranked[1] = other
			break
		}
	}
	if h.current() == t { // else the homes may be those of a later view
		t.ranks.Put(s, ranked)
	}
	return ranked
}

// watchersOf returns the VMs that probe the targets of the service all the time.
func (h *homes) watchersOf(s *config.Service) []siskin.VM {
	ranked := h.rankedHomes(s)
	return ranked[:min(len(ranked), watcherCount)]
}

func slotResource(key pool.Key) string {
	return "Slot/" + string(key.Target) + "/" + strconv.Itoa(int(key.Slot))
}
