package spread

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

const (
	// watchTimeout bounds one watch. The VM then reads the head and checks
	// whether it still is a watcher. The read proves that no change was missed,
	// and accepting keys requires such a proof every second. 32 watchers make 64
	// calls per second; the platform's limit is 2,000.
	watchTimeout = time.Second
	// readTimeout bounds the read of the head after a watch.
	readTimeout = 5 * time.Second
	// loadChangesTimeout bounds loading the changes that the head lists and the
	// snapshot, whose shards have 46 MB in total at 23,000 services.
	loadChangesTimeout = 15 * time.Second
	// watcherResource is the resource name for ranking the VMs of a data centre
	// as watchers.
	watcherResource = "Spread/Watcher"
)

// watchLoop watches the head while this VM is one of the watchers of its data
// centre.
func (s *Spread) watchLoop() {
	version := siskin.Version(0)
	for s.ctx.Err() == nil {
		rank, ok := s.watcherRank()
		if !ok {
			s.platformDown.Store(false) // only watchers query the platform
			select {
			case <-s.members.Changed():
			case <-s.clock.After(watchTimeout):
			case <-s.ctx.Done():
			}
			continue
		}
		version = s.watchOnce(rank, version)
	}
}

// watcherRank returns this VM's rank among the watchers of its data centre, and
// reports whether it is one.
func (s *Spread) watcherRank() (int, bool) {
	self := s.members.Self()
	for i, vm := range place.Rank(watcherResource, place.PreferDataCentre(self.DataCentre, s.members.Live())) {
		if i >= watcherCount {
			break
		}
		if vm.ID == self.ID {
			return i, true
		}
	}
	return 0, false
}

// watchOnce waits for a head newer than version, installs its changes and pushes
// them to the data centre. It returns the version for the next watch.
func (s *Spread) watchOnce(rank int, version siskin.Version) siskin.Version {
	o, sent, err := s.nextHead(version)
	if s.ctx.Err() != nil {
		return version
	}
	// Only a failed read of the head means that the platform is down: peers take
	// PlatformDown as proof that no change can be accepted.
	s.platformDown.Store(err != nil)
	if err == nil {
		err = s.installHead(rank, o)
	}
	if err != nil {
		s.logf("following the head of the configuration failed: %v", err)
		s.waitAfterFailure()
		return version
	}
	s.recordPlatformAnswer(sent)
	return o.Version
}

// nextHead waits for a head newer than version and reads the head if none
// appeared. It also returns the time at which the successful request was sent.
func (s *Spread) nextHead(version siskin.Version) (siskin.Object, time.Time, error) {
	ctx, cancel := context.WithTimeout(s.ctx, watchTimeout)
	defer cancel()
	sent := s.clock.Now()
	o, err := s.platform.Watch(ctx, headName, version)
	if err == nil && o.Version > version {
		return o, sent, nil
	}
	ctx, cancel = context.WithTimeout(s.ctx, readTimeout)
	defer cancel()
	sent = s.clock.Now()
	o, err = s.platform.Get(ctx, headName)
	return o, sent, err
}

// installHead installs the changes up to a head and pushes them to the data
// centre, unless a push of another VM delivers them first.
func (s *Spread) installHead(rank int, o siskin.Object) error {
	h, err := parseHead(o)
	if err != nil {
		return err
	}
	if h.Revision > s.Revision() {
		// The push of the VM that committed the change, or of the first watcher,
		// usually arrives during this delay.
		select {
		case <-s.clock.After(watcherPushDelay[rank]):
		case <-s.ctx.Done():
			return s.ctx.Err()
		}
	}
	base := s.Revision()
	if base >= h.Revision {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, loadChangesTimeout)
	defer cancel()
	if err := s.loadChanges(ctx, h); err != nil {
		return err
	}
	local, _ := s.others()
	s.pushAll(base, local)
	return nil
}

// waitAfterFailure delays the next attempt after a failure by the exchange
// interval.
func (s *Spread) waitAfterFailure() {
	select {
	case <-s.clock.After(s.cfg.ExchangeInterval):
	case <-s.ctx.Done():
	}
}
