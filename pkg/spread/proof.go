package spread

import (
	"math/rand/v2"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// Proof is the proof that a VM's revision is the newest. It is part of each
// response to an exchange.
type Proof struct {
	// Age is the age of the proof, negative without one.
	Age time.Duration
	// Watcher reports whether the VM queries the platform itself, and
	// PlatformDown whether its last query failed.
	Watcher      bool
	PlatformDown bool
	DataCentre   siskin.DataCentreID
}

// proof returns this VM's proof. Call it before reading the revision that is
// sent with it: the proof is valid for the current and later revisions only.
func (s *Spread) proof() Proof {
	_, watcher := s.watcherRank()
	return Proof{
		Age:          s.proofTracker.Age(s.clock.Now()),
		Watcher:      watcher,
		PlatformDown: s.platformDown.Load(),
		DataCentre:   s.members.Self().DataCentre,
	}
}

// recordProof passes a peer's proof to the tracker. The proof was requested at
// the given time and applies to the peer's revision rev, so it is ignored while
// this VM lacks that revision.
func (s *Spread) recordProof(p Proof, rev siskin.Revision, sent time.Time) {
	if p.Watcher && p.DataCentre != s.members.Self().DataCentre {
		s.proofTracker.PeerPlatform(p.DataCentre, sent, p.PlatformDown)
	}
	if p.Age >= 0 && s.Revision() >= rev {
		s.proofTracker.PeerProof(sent, p.Age)
		s.hadProof.Store(true)
	}
}

// recordPlatformAnswer records a response of the platform to a request sent at
// the given time. The revision in the response must be in force at this VM.
func (s *Spread) recordPlatformAnswer(sent time.Time) {
	s.proofTracker.PlatformAnswered(sent)
	s.hadProof.Store(true)
}

// PlatformDown reports whether this VM is a watcher whose last query of the
// platform failed.
func (s *Spread) PlatformDown() bool { return s.platformDown.Load() }

// probeLoop probes the watchers of other data centres at each interval while
// this VM is a watcher that cannot reach the platform. It does not wait for the
// exchanges, which take up to the call timeout when VMs are unreachable.
func (s *Spread) probeLoop() {
	for {
		select {
		case <-s.clock.After(s.cfg.ExchangeInterval):
		case <-s.ctx.Done():
			return
		}
		if s.platformDown.Load() {
			s.probeWatchers()
		}
	}
}

// probeWatchers exchanges revisions with one watcher of each other data centre,
// which is 15 messages per second with 16 data centres.
func (s *Spread) probeWatchers() {
	_, remote := s.others()
	byDataCentre := make(map[siskin.DataCentreID][]siskin.VM)
	for _, vm := range remote {
		byDataCentre[vm.DataCentre] = append(byDataCentre[vm.DataCentre], vm)
	}
	for _, vms := range byDataCentre {
		ranked := place.Rank(watcherResource, vms)
		s.fetchInBackground(ranked[rand.IntN(min(len(ranked), watcherCount))].ID)
	}
}
