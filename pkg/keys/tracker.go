package keys

import (
	"sync"
	"time"

	"siskintray.example/siskin"
)

// Tracker collects evidence from the platform and from peers in other data
// centres. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	self    siskin.DataCentreID
	current time.Time
	down    map[siskin.DataCentreID]time.Time // when its peers last said so
}

// NewTracker returns a tracker for a VM in the given data centre.
func NewTracker(self siskin.DataCentreID) *Tracker {
	return &Tracker{self: self, down: make(map[siskin.DataCentreID]time.Time)}
}

// PlatformAnswered records that the platform answered a request that was sent
// at the given time, and that this VM has the revision which it named.
func (t *Tracker) PlatformAnswered(sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sent.After(t.current) {
		t.current = sent
	}
}

// PeerAnswered records an answer of a peer, whose revision this VM has, to a
// request that was sent at the given time. The peer's own evidence is age old;
// platformDown says that it cannot reach the platform.
func (t *Tracker) PeerAnswered(dc siskin.DataCentreID, sent time.Time, age time.Duration, platformDown bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if proof := sent.Add(-age); proof.After(t.current) {
		t.current = proof
	}
	if platformDown {
		t.down[dc] = sent
	} else {
		delete(t.down, dc)
	}
}

// Evidence returns the evidence so far. The platform counts as down for all
// since the oldest of the latest statements of all other data centres: one
// that cannot be asked may reach the platform and accept a withdrawal. The own
// data centre proves nothing, since its VMs are cut off together.
func (t *Tracker) Evidence(all []siskin.DataCentreID) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := Evidence{Current: t.current}
	for _, dc := range all {
		if dc == t.self {
			continue
		}
		said, ok := t.down[dc]
		if !ok {
			return Evidence{Current: t.current}
		}
		if e.DownForAll.IsZero() || said.Before(e.DownForAll) {
			e.DownForAll = said
		}
	}
	return e
}
