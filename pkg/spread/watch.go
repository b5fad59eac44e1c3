package spread

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

const (
	// watchersPerDataCentre is two, so that the death of one costs nothing; with
	// 16 data centres that is 32 waiting calls of the platform's budget.
	watchersPerDataCentre = 2
	// platformTimeout bounds calls of the platform other than watches.
	platformTimeout = 5 * time.Second
	// watchWait bounds one wait for the next head. Its end without a change is
	// proof that no change was missed, which has to be younger than a few
	// seconds; 32 watchers make 64 calls a second of the platform's 2,000.
	watchWait = time.Second
	// watchPause is the time between two looks at whether this VM is a watcher,
	// and after a failed call.
	watchPause = time.Second
)

// watch follows the head while this VM is one of the watchers of its data
// centre, and at the start until the configuration is loaded.
func (s *Spread) watch() {
	var seen siskin.Version
	for s.ctx.Err() == nil {
		if s.isLoaded() && !s.isWatcher() {
			if !s.sleep(watchPause) {
				return
			}
			continue
		}
		sent := s.clock.Now()
		o, err := s.readHead(seen)
		if err == nil {
			err = s.follow(o, sent)
		}
		s.platformDown.Store(err != nil)
		if err != nil {
			s.logf("head of the configuration: %v", err)
			if !s.sleep(watchPause) {
				return
			}
			continue
		}
		seen = o.Version
		s.markLoaded()
		if s.isWatcher() {
			s.fold(o)
		}
	}
}

// readHead reads the head the first time and then waits for its next version.
func (s *Spread) readHead(seen siskin.Version) (siskin.Object, error) {
	if seen > 0 {
		ctx, cancel := context.WithTimeout(s.ctx, watchWait)
		defer cancel()
		if o, err := s.platform.Watch(ctx, headName, seen); err == nil || s.ctx.Err() != nil {
			return o, err
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, platformTimeout)
	defer cancel()
	return s.platform.Get(ctx, headName)
}

// isWatcher reports whether this VM is one of the first of its data centre.
func (s *Spread) isWatcher() bool {
	self := s.members.Self()
	ranked := place.Rank(watchResource(self.DataCentre), place.In(self.DataCentre, s.members.Live()))
	for i, vm := range ranked {
		if i == watchersPerDataCentre {
			return false
		}
		if vm.ID == self.ID {
			return true
		}
	}
	return len(ranked) == 0
}

func watchResource(dc siskin.DataCentreID) string { return "Config/Watch/" + string(dc) }

// follow brings this VM to the revision of a head that was asked for at the
// given time.
func (s *Spread) follow(o siskin.Object, sent time.Time) error {
	h, err := decodeHead(o)
	if err != nil {
		return err
	}
	if err := s.catchUp(h); err != nil {
		return err
	}
	s.evidence.PlatformAnswered(sent)
	return nil
}

// catchUp loads what is missing up to the head's revision.
func (s *Spread) catchUp(h head) error {
	if s.Revision() < h.Folded {
		if err := s.loadSnapshot(h); err != nil {
			return err
		}
	}
	for _, ref := range h.Recent {
		if ref.Revision <= s.Revision() {
			continue
		}
		n, err := s.loadChange(ref)
		if err != nil {
			return err
		}
		s.push(s.store.apply([]Numbered{n}))
	}
	if s.Revision() < h.Revision {
		return siskin.NewError(siskin.Internal, "head names revision %d and leads to %d only", h.Revision, s.Revision()).
			WithRemedy("the next read of the head repairs this unless the object was edited by hand")
	}
	return nil
}
