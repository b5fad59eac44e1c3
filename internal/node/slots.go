package node

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/pool"
	"siskintray.example/siskin/pkg/config"
)

// slots keeps the pool and the queues in sync with the slots that this VM owns.
type slots struct {
	self   siskin.VMID
	homes  *homes
	pool   *pool.Pool
	queues *queues
}

// update adds slots that this VM now owns and drops those that it no longer
// owns. Requests in progress on a dropped slot finish.
func (s *slots) update(view config.View) {
	owned := make(map[pool.Key]bool)
	for _, name := range view.Services() {
		service, ok := view.Service(name)
		if !ok {
			continue
		}
		for _, target := range service.Targets {
			s.updateTarget(service, target, owned)
		}
	}
	for _, key := range s.pool.Owned() {
		if !owned[key] {
			s.drop(key)
		}
	}
}

func (s *slots) updateTarget(service *config.Service, target config.Target, owned map[pool.Key]bool) {
	for n := range service.Slots {
		slot := siskin.Slot(n)
		vm, ok := s.homes.of(target, slot)
		if !ok || vm.ID != s.self {
			continue
		}
		key := pool.Key{Target: target.ID, Slot: slot}
		owned[key] = true
		s.queues.set(key, service.ConnectionsPerSlot)
		s.pool.Own(key, pool.SlotConfig{
			Address:     target.Address,
			Credentials: service.Credentials,
			Limit:       service.ConnectionsPerSlot,
			OpenTime:    service.OpenTime.Std(),
		})
	}
}

func (s *slots) drop(key pool.Key) {
	s.queues.drop(key)
	s.pool.Drop(key)
}
