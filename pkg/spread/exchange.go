package spread

import (
	"context"
	"math/rand/v2"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/place"
)

// maxBatch bounds the changes in one answer, so that it stays below the size of
// a message between VMs.
const maxBatch = 256

// SinceArgs asks for the changes after a revision.
type SinceArgs struct{ Revision siskin.Revision }

// SinceReply answers SinceArgs.
type SinceReply struct {
	Revision siskin.Revision
	Changes  []Numbered `json:",omitempty"`
	// Part is a part of the whole state, when the changes are no longer kept.
	Part *Part `json:",omitempty"`
	// Age is the age of the VM's proof that its revision is the newest, in
	// nanoseconds, negative without one.
	Age time.Duration
	// Watcher says that the VM asks the platform itself, and PlatformDown that
	// the platform did not answer it.
	Watcher      bool
	PlatformDown bool
	DataCentre   siskin.DataCentreID
}

// Part is a part of the state of one revision.
type Part struct {
	Revision siskin.Revision
	Index    int
	Count    int
	Change   *config.Change
}

// PartArgs asks for one part of the whole state.
type PartArgs struct {
	Revision siskin.Revision
	Index    int
}

// exchange asks one random peer per interval for what this VM lacks.
func (s *Spread) exchange() {
	for {
		for more := true; more; {
			vm, ok := s.pickPeer()
			more = ok && s.ask(vm)
		}
		if s.platformDown.Load() && s.isWatcher() {
			s.askWatchers()
		}
		jitter := time.Duration(rand.Int64N(int64(s.interval)/4 + 1))
		if !s.sleep(s.interval*7/8 + jitter) {
			return
		}
	}
}

// farEvery is how often a peer of another data centre is asked instead of one
// of the own.
const farEvery = 3

// ask asks one peer and reports whether more is to be had at once.
func (s *Spread) ask(vm siskin.VMID) bool {
	if s.ctx.Err() != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	sent, before := s.clock.Now(), s.Revision()
	var reply SinceReply
	if err := s.peers.Call(ctx, vm, "Spread.Since", SinceArgs{Revision: before}, &reply); err != nil {
		return false
	}
	if reply.Part != nil {
		if err := s.takeParts(vm, reply.Part); err != nil {
			s.logf("state from %s: %v", vm, err)
		}
	} else {
		s.push(s.store.apply(reply.Changes))
	}
	if reply.Watcher && reply.DataCentre != s.members.Self().DataCentre {
		s.evidence.PeerPlatform(reply.DataCentre, sent, reply.PlatformDown)
	}
	if s.Revision() < reply.Revision {
		return s.Revision() > before
	}
	if reply.Age >= 0 {
		s.evidence.PeerProof(sent, reply.Age)
	}
	if reply.Revision > 0 {
		s.markLoaded()
	}
	return false
}

// askWatchers asks one watcher of each other data centre whether the platform
// is down there too. Only watchers do so, and only while they cannot reach the
// platform: with 16 data centres that is 15 messages a second.
func (s *Spread) askWatchers() {
	self := s.members.Self()
	byPlace := make(map[siskin.DataCentreID][]siskin.VM)
	for _, vm := range s.members.Live() {
		byPlace[vm.DataCentre] = append(byPlace[vm.DataCentre], vm)
	}
	for dc, vms := range byPlace {
		if dc == self.DataCentre {
			continue
		}
		ranked := place.Rank(watchResource(dc), vms)
		vm := ranked[rand.IntN(min(len(ranked), watchersPerDataCentre))].ID
		// A question that finds no place is asked again in the next interval.
		_ = s.pushes.Go(func() { s.ask(vm) })
	}
}

func (s *Spread) pickPeer() (siskin.VMID, bool) {
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
	if len(far) > 0 && (len(near) == 0 || rand.IntN(farEvery) == 0) {
		return far[rand.IntN(len(far))], true
	}
	if len(near) > 0 {
		return near[rand.IntN(len(near))], true
	}
	return "", false
}

// takeParts reads the whole state from a peer, part by part.
func (s *Spread) takeParts(vm siskin.VMID, first *Part) error {
	all := &config.Change{}
	for p := first; ; {
		all.Services = append(all.Services, p.Change.Services...)
		all.Customers = append(all.Customers, p.Change.Customers...)
		if p.Index+1 >= p.Count {
			break
		}
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		next := &Part{}
		err := s.peers.Call(ctx, vm, "Spread.Part", PartArgs{Revision: first.Revision, Index: p.Index + 1}, next)
		cancel()
		if err != nil {
			return err
		}
		p = next
	}
	s.store.replace(first.Revision, all)
	return nil
}
