package spread

import (
	"math/rand/v2"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// Proof is what a VM says about its knowledge in each answer to an exchange.
type Proof struct {
	// Age is the age of the VM's proof that its revision is the newest,
	// negative without one.
	Age time.Duration
	// Watcher says that the VM asks the platform itself, and PlatformDown that
	// the platform did not answer its last question.
	Watcher      bool
	PlatformDown bool
	DataCentre   siskin.DataCentreID
}

// proof returns this VM's proof. The age must be read before the revision that
// it is sent with, since the proof holds for later revisions as well.
func (s *Spread) proof() Proof {
	_, watcher := s.watcherRank()
	return Proof{
		Age:          s.proofTracker.Age(s.clock.Now()),
		Watcher:      watcher,
		PlatformDown: s.platformDown.Load(),
		DataCentre:   s.members.Self().DataCentre,
	}
}

// noteProof passes on a proof that was asked for at the given time and came
// with a revision of the peer. It proves nothing to a VM that lacks the revision.
func (s *Spread) noteProof(p Proof, rev siskin.Revision, sent time.Time) {
	if p.Watcher && p.DataCentre != s.members.Self().DataCentre {
		s.proofTracker.PeerPlatform(p.DataCentre, sent, p.PlatformDown)
	}
	if p.Age >= 0 && s.Revision() >= rev {
		s.proofTracker.PeerProof(sent, p.Age)
		s.proved.Store(true)
	}
}

// platformAnswered notes an answer of the platform to a question that was sent
// at the given time. The revision that it named must be in force.
func (s *Spread) platformAnswered(sent time.Time) {
	s.proofTracker.PlatformAnswered(sent)
	s.proved.Store(true)
}

// PlatformDown reports whether the platform did not answer this VM's last
// question as a watcher. It is false at VMs that are no watchers.
func (s *Spread) PlatformDown() bool { return s.platformDown.Load() }

// probeLoop asks the watchers of other data centres at each interval while
// this VM is a watcher that cannot reach the platform. It does not wait for
// exchanges, which take up to the call timeout when VMs are cut off.
func (s *Spread) probeLoop() {
	for {
		select {
		case <-s.clock.After(s.cfg.ExchangeInterval):
		case <-s.ctx.Done():
			return
		}
		if s.platformDown.Load() {
			s.askWatchers()
		}
	}
}

// askWatchers exchanges revisions with one watcher of each other data centre:
// 15 messages a second with 16 data centres.
func (s *Spread) askWatchers() {
	_, far := s.others()
	byPlace := make(map[siskin.DataCentreID][]siskin.VM)
	for _, vm := range far {
		byPlace[vm.DataCentre] = append(byPlace[vm.DataCentre], vm)
	}
	for _, vms := range byPlace {
		ranked := place.Rank(watcherResource, vms)
		s.fetchSoon(ranked[rand.IntN(min(len(ranked), watcherCount))].ID)
	}
}
