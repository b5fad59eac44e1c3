package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"siskintray.example/siskin"
)

// callTimeout bounds a call of another VM.
const callTimeout = 2 * time.Second

// PushArgs carries new changes in order.
type PushArgs struct{ Changes []Numbered }

// PushReply answers PushArgs.
type PushReply struct{ Revision siskin.Revision }

// push sends new changes to other VMs of the data centre, which push them on
// when they were new to them as well.
func (s *Spread) push(changes []Numbered) {
	if len(changes) == 0 {
		return
	}
	for _, vm := range s.pushTargets() {
		// A push that finds no place is made up for by anti-entropy.
		_ = s.pushes.Go(func() { s.pushTo(vm, changes) })
	}
}

func (s *Spread) pushTo(vm siskin.VMID, changes []Numbered) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	var reply PushReply
	if err := s.peers.Call(ctx, vm, "Spread.Push", PushArgs{Changes: changes}, &reply); err != nil {
		s.logf("push to %s: %v", vm, err)
	}
}

// pushTargets returns random VMs of the own data centre, and one of another, so
// that a data centre whose watchers are cut off from the platform hears too.
func (s *Spread) pushTargets() []siskin.VMID {
	self := s.members.Self()
	var near, far []siskin.VMID
	for _, vm := range s.members.Live() {
		switch {
		case vm.ID == self.ID:
		case vm.DataCentre == self.DataCentre:
			near = append(near, vm.ID)
		default:
			far = append(far, vm.ID)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	targets := near[:min(len(near), s.fanout)]
	if len(far) > 0 {
		targets = append(targets, far[rand.IntN(len(far))])
	}
	return targets
}
