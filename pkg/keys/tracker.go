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
	platformDown map[siskin.DataCentreID]time.Time // when its peers last said so
}

// NewTracker returns a tracker for a VM in the given data centre.
func NewTracker(self siskin.DataCentreID) *Tracker {
	return &Tracker{self: self, platformDown: make(map[siskin.DataCentreID]time.Time)}
}

// PlatformAnswered records that the platform answered a request that was sent
// at the given time, and that this VM has the revision which it named.
func (t *Tracker) PlatformAnswered(sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sent.After(t.currentAt) {
		t.currentAt = sent
	}
}

// PeerProof records the proof of a peer, whose revision this VM has. It was age
// old when the question to the peer was sent. The peer's proof may itself be
// that the platform was down for all: no withdrawal was accepted then.
func (t *Tracker) PeerProof(sent time.Time, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if proof := sent.Add(-age); proof.After(t.currentAt) {
		t.currentAt = proof
	}
}

// PeerPlatform records whether a peer that asks the platform itself can reach
// it. The statement counts only from another data centre; a peer of the own is
// cut off together with this VM.
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

// Evidence returns the evidence so far. The platform counts as down for all
// since the oldest of the latest statements of all other data centres: one
// that cannot be asked may reach the platform and accept a withdrawal. The own
// data centre proves nothing, since its VMs are cut off together.
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
