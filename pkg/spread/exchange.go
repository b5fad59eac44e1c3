package spread

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// SinceArgs are the arguments of Spread.Since.
type SinceArgs struct {
	From siskin.VMID
	// Revision is the revision in force at the caller.
	Revision siskin.Revision
	// After is the last document of the previous page, without its body.
	After *Document `json:",omitempty"`
}

// SinceReply is the reply of Spread.Since.
type SinceReply struct {
	// Revision is the revision in force at the responding VM before it collected
	// the documents.
	Revision siskin.Revision
	// Documents are those changed after the caller's revision.
	Documents []Document `json:",omitempty"`
	// More reports whether further pages follow.
	More bool `json:",omitempty"`
	// Proof is the proof that Revision is the newest.
	Proof Proof
}

// exchangeLoop exchanges revisions with a random VM at each interval.
func (s *Spread) exchangeLoop() {
	for n := 1; ; n++ {
		if vm, ok := s.exchangePeer(n); ok {
			_ = s.fetch(vm)
		}
		if s.shouldLoadFromPlatform(n) {
			s.submit(func() { _ = s.loadFromPlatform(s.ctx) })
		}
		s.writeStatus()
		select {
		case <-s.clock.After(s.cfg.ExchangeInterval):
		case <-s.ctx.Done():
			return
		}
	}
}

// shouldLoadFromPlatform reports whether the VM reads the configuration from
// the platform after the n-th exchange. The intervals double, so that a fleet
// without a configuration does not load the platform. While a VM has no proof,
// it reads from the first exchange on, since no key is accepted without a
// proof. With a proof, only VMs that are not watchers read, from the 8th
// exchange on and only while they have no configuration.
func (s *Spread) shouldLoadFromPlatform(n int) bool {
	if n&(n-1) != 0 {
		return false
	}
	if !s.hadProof.Load() {
		return true
	}
	_, watcher := s.watcherRank()
	return !watcher && s.Revision() == 0 && n >= 8
}

// exchangePeer selects the VM for the n-th exchange.
func (s *Spread) exchangePeer(n int) (siskin.VMID, bool) {
	local, remote := s.others()
	switch {
	case len(local)+len(remote) == 0:
		return "", false
	case len(local) == 0 || len(remote) > 0 && n%remoteExchangeEvery == 0:
		return randomVM(remote), true
	case n%collectorExchangeEvery == 0:
		if vm, ok := s.collector(); ok && vm.ID != s.members.Self().ID {
			return vm.ID, true
		}
	}
	return randomVM(local), true
}

// collector returns the VM that collects the revisions of this data centre.
func (s *Spread) collector() (siskin.VM, bool) {
	return collectorOf(s.members.Self().DataCentre, s.members.Live())
}

func collectorOf(dc siskin.DataCentreID, live []siskin.VM) (siskin.VM, bool) {
	return place.Best("Spread/Collector", place.PreferDataCentre(dc, live))
}

// fetch gets the documents changed since this VM's revision from a peer, in
// pages. The revision advances only after the last page.
func (s *Spread) fetch(vm siskin.VMID) error {
	args := &SinceArgs{From: s.members.Self().ID, Revision: s.Revision()}
	rev, proof, sent := siskin.Revision(0), Proof{}, s.clock.Now()
	for {
		var reply SinceReply
		if err := s.call(vm, "Spread.Since", args, &reply); err != nil {
			return err
		}
		s.peerRevisions.record(vm, reply.Revision, s.clock.Now())
		entries, err := decodeAll(reply.Documents)
		if err != nil {
			return err
		}
		if args.After == nil {
			rev, proof = reply.Revision, reply.Proof
		}
		if !reply.More || len(entries) == 0 {
			s.install(entries, rev)
			s.recordProof(proof, rev, sent)
			return nil
		}
		s.install(entries, 0)
		last := reply.Documents[len(reply.Documents)-1]
		args.After = &Document{Kind: last.Kind, Name: last.Name, Revision: last.Revision}
	}
}

// fetchInBackground fetches from a peer unless a fetch from it is running.
func (s *Spread) fetchInBackground(vm siskin.VMID) {
	s.fetchMu.Lock()
	fetching := s.fetching[vm]
	s.fetching[vm] = true
	s.fetchMu.Unlock()
	if fetching {
		return
	}
	release := func() {
		s.fetchMu.Lock()
		defer s.fetchMu.Unlock()
		delete(s.fetching, vm)
	}
	if !s.submit(func() { defer release(); _ = s.fetch(vm) }) {
		release()
	}
}

// Receiver holds the methods that peers call. Register it as "Spread".
type Receiver struct{ s *Spread }

// Receiver returns the receiver of the methods Spread.Push, Spread.Since and
// Spread.Status.
func (s *Spread) Receiver() *Receiver { return &Receiver{s} }

// Since returns the documents changed after the caller's revision.
func (r *Receiver) Since(args *SinceArgs, reply *SinceReply) error {
	s := r.s
	s.peerRevisions.record(args.From, args.Revision, s.clock.Now())
	reply.Proof = s.proof()
	reply.Revision = s.Revision()
	switch {
	case args.Revision < reply.Revision:
		after := afterRevision(args.Revision)
		if args.After != nil {
			after = logEntry{args.After.Revision, args.After.key()}
		}
		reply.Documents, reply.More = s.since(after)
	case args.Revision > reply.Revision:
		s.fetchInBackground(args.From)
	}
	return nil
}

// staleAfter is the age from which the last reported revision of a VM is
// ignored.
const staleAfter = 30 * time.Second
