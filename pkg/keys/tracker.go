package keys

import (
	"sync"
	"time"

	"siskintray.example/siskin"
)

// Tracker collects evidence from the platform and from peers in other data
// centres. It is safe for concurrent use.
type Tracker struct {
	mu           sync.Mutex
	self         siskin.DataCentreID
	currentAt    time.Time
	platformDown map[siskin.DataCentreID]time.Time // time of the last report by its peers
}

// NewTracker returns a tracker for a VM in the given data centre.
func NewTracker(self siskin.DataCentreID) *Tracker {
	return &Tracker{self: self, platformDown: make(map[siskin.DataCentreID]time.Time)}
}

// PlatformAnswered records that the platform responded to a request sent at the
// given time and that this VM has the revision in the response.
func (t *Tracker) PlatformAnswered(sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sent.After(t.currentAt) {
		t.currentAt = sent
	}
}

// PeerProof records the proof of a peer whose revision this VM has. The proof
// had the given age when the request to the peer was sent. It may itself be that
// the platform was down for all data centres: no withdrawal was accepted then.
func (t *Tracker) PeerProof(sent time.Time, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if proof := sent.Add(-age); proof.After(t.currentAt) {
		t.currentAt = proof
	}
}

// PeerPlatform records whether the platform is down for a peer that sends
// requests to it itself. The report of a peer in this VM's data centre is
// ignored, since that peer is isolated together with this VM.
func (t *Tracker) PeerPlatform(dc siskin.DataCentreID, sent time.Time, platformDown bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case dc == t.self:
	case platformDown:
		t.platformDown[dc] = sent
	default:
		delete(t.platformDown, dc)
	}
}

// Evidence returns the current evidence, where all lists every data centre. The
// platform counts as down at the time of the oldest of the latest reports of all
// other data centres. Without a report from each there is no such evidence: a
// data centre that does not respond may reach the platform and accept a
// withdrawal. This VM's own data centre is left out, since its VMs are isolated
// together.
func (t *Tracker) Evidence(all []siskin.DataCentreID) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := Evidence{CurrentAt: t.currentAt}
	for _, dc := range all {
		if dc == t.self {
			continue
		}
		reported, ok := t.platformDown[dc]
		if !ok {
			return Evidence{CurrentAt: t.currentAt}
		}
		if e.PlatformDownAt.IsZero() || reported.Before(e.PlatformDownAt) {
			e.PlatformDownAt = reported
		}
	}
	return e
}
