package spread

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// peerRevisions holds the last revision reported by each other VM.
type peerRevisions struct {
	mu              sync.Mutex
	vms             map[siskin.VMID]observation
	statusWrittenAt time.Time
	version         siskin.Version
}

type observation struct {
	revision siskin.Revision
	at       time.Time
}

func newPeerRevisions() *peerRevisions { return &peerRevisions{vms: make(map[siskin.VMID]observation)} }

func (t *peerRevisions) record(vm siskin.VMID, rev siskin.Revision, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms[vm] = observation{max(rev, t.vms[vm].revision), now}
}

// Status returns the revision in force per live VM, as reported to this VM in
// the last 30 s. VMs without a report are left out. The collector of a data
// centre receives reports from all its VMs within a few seconds.
func (s *Spread) Status() map[siskin.VMID]siskin.Revision {
	now := s.clock.Now()
	self := s.members.Self().ID
	revisions := map[siskin.VMID]siskin.Revision{self: s.Revision()}
	s.peerRevisions.mu.Lock()
	defer s.peerRevisions.mu.Unlock()
	live := make(map[siskin.VMID]bool)
	for _, vm := range s.members.Live() {
		live[vm.ID] = true
		if at, ok := s.peerRevisions.vms[vm.ID]; ok && now.Sub(at.at) < staleAfter && vm.ID != self {
			revisions[vm.ID] = at.revision
		}
	}
	for id := range s.peerRevisions.vms {
		if !live[id] {
			delete(s.peerRevisions.vms, id)
		}
	}
	return revisions
}

// StatusObject is the value of Config/Status/<data centre>.
type StatusObject struct {
	// Lowest is the lowest revision in VMs.
	Lowest siskin.Revision
	VMs    map[siskin.VMID]siskin.Revision
}

// writeStatus writes the revisions of the data centre to the platform if this
// VM is its collector.
func (s *Spread) writeStatus() {
	vm, ok := s.collector()
	if !ok || vm.ID != s.members.Self().ID || s.clock.Since(s.peerRevisions.statusWrittenAt) < s.cfg.StatusInterval {
		return
	}
	s.peerRevisions.statusWrittenAt = s.clock.Now()
	value := StatusObject{Lowest: s.Revision(), VMs: make(map[siskin.VMID]siskin.Revision)}
	for id, rev := range s.Status() {
		if other, ok := s.members.Lookup(id); ok && other.DataCentre == vm.DataCentre {
			value.VMs[id] = rev
			value.Lowest = min(value.Lowest, rev)
		}
	}
	s.submit(func() { s.putStatus(siskin.ObjectName(vm.DataCentre), value) })
}

// putStatus replaces the status object. After a failed write, the next write
// reads the version again; a later status replaces one that was not written.
func (s *Spread) putStatus(dc siskin.ObjectName, value StatusObject) {
	b, err := json.Marshal(value)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.cfg.StatusInterval)
	defer cancel()
	t := s.peerRevisions
	t.mu.Lock()
	version := t.version
	t.mu.Unlock()
	if version == 0 {
		o, err := s.platform.Get(ctx, statusPrefix+dc)
		if err != nil {
			return
		}
		version = o.Version
	}
	version, err = s.platform.Put(ctx, statusPrefix+dc, b, version, s.newOperationID("Status", value.Lowest))
	if err != nil {
		version = 0
	}
	t.mu.Lock()
	t.version = version
	t.mu.Unlock()
}
