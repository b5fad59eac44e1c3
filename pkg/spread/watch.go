package spread

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// watchTurn bounds one watch, after which the VM checks whether it still is a
// watcher.
const watchTurn = 15 * time.Second

// watchLoop watches the head while this VM is one of the watchers of its data
// centre.
func (s *Spread) watchLoop() {
	version := siskin.Version(0)
	for s.ctx.Err() == nil {
		rank, ok := s.watcherRank()
		if !ok {
			select {
			case <-s.members.Changed():
			case <-s.clock.After(watchTurn):
			case <-s.ctx.Done():
			}
			continue
		}
		version = s.watchOnce(rank, version)
	}
}

// watcherRank returns this VM's place among the watchers of its data centre.
func (s *Spread) watcherRank() (int, bool) {
	self := s.members.Self()
	for i, vm := range place.Rank("Spread/Watcher", place.In(self.DataCentre, s.members.Live())) {
		if i >= watcherCount {
			break
		}
		if vm.ID == self.ID {
			return i, true
		}
	}
	return 0, false
}

// watchOnce waits for a head after version, brings it into force and pushes it
// to the data centre. It returns the version to wait for next.
func (s *Spread) watchOnce(rank int, version siskin.Version) siskin.Version {
	ctx, cancel := context.WithTimeout(s.ctx, watchTurn)
	defer cancel()
	o, err := s.platform.Watch(ctx, headName, version)
	if err != nil {
		s.pause(ctx)
		return version
	}
	h, err := parseHead(o)
	if err != nil {
		s.pause(ctx)
		return version
	}
	if h.Revision > s.Revision() {
		// The push of the VM that made the change, or of the first watcher,
		// usually arrives in this time and makes another one unnecessary.
		select {
		case <-s.clock.After(backupDelay[rank]):
		case <-s.ctx.Done():
			return version
		}
	}
	base := s.Revision()
	if base >= h.Revision {
		return o.Version
	}
	if err := s.catchUp(ctx, h); err != nil {
		s.pause(ctx)
		return version
	}
	near, _ := s.others()
	s.pushAll(base, near)
	return o.Version
}

// pause waits a moment after a failure, so that it is not repeated at once.
func (s *Spread) pause(ctx context.Context) {
	select {
	case <-s.clock.After(s.cfg.ExchangeInterval):
	case <-ctx.Done():
	}
}
