package daemon

import (
	"slices"
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/keys"
)

// proofTracker passes the proofs of package spread to package keys: a proof that
// this VM has the newest configuration also proves that it missed no withdrawal
// of a key.
type proofTracker struct {
	tracker *keys.Tracker
	members siskin.Members

	mu          sync.Mutex
	view        config.View // set when the configuration exists
	viewChanged <-chan struct{}
	known       []siskin.DataCentreID
}

func newProofTracker(members siskin.Members) *proofTracker {
	return &proofTracker{tracker: keys.NewTracker(members.Self().DataCentre), members: members}
}

func (e *proofTracker) setView(view config.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view = view
}

// PlatformAnswered implements spread.ProofTracker.
func (e *proofTracker) PlatformAnswered(sent time.Time) { e.tracker.PlatformAnswered(sent) }

// PeerProof implements spread.ProofTracker.
func (e *proofTracker) PeerProof(sent time.Time, age time.Duration) { e.tracker.PeerProof(sent, age) }

// PeerPlatform implements spread.ProofTracker.
func (e *proofTracker) PeerPlatform(dc siskin.DataCentreID, sent time.Time, down bool) {
	e.tracker.PeerPlatform(dc, sent, down)
}

// Age implements spread.ProofTracker.
func (e *proofTracker) Age(now time.Time) time.Duration {
	last := e.evidence().Last()
	if last.IsZero() {
		return -1
	}
	return now.Sub(last)
}

// evidence returns the evidence that decides whether keys may be accepted.
func (e *proofTracker) evidence() keys.Evidence { return e.tracker.Evidence(e.dataCentres()) }

// dataCentres returns the data centres of all targets and of all live VMs. Those
// of the targets are needed because a data centre that is partitioned off has no
// live VM in this VM's view and may still accept a withdrawal. The result is
// cached until the configuration changes.
func (e *proofTracker) dataCentres() []siskin.DataCentreID {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.view == nil {
		return nil
	}
	if e.viewChanged != nil {
		select {
		case <-e.viewChanged:
		default:
			return e.known
		}
	}
	e.viewChanged = e.view.Changed()
	e.known = nil
	add := func(dc siskin.DataCentreID) {
		if !slices.Contains(e.known, dc) {
			e.known = append(e.known, dc)
		}
	}
	for _, name := range e.view.Services() {
		if s, ok := e.view.Service(name); ok {
			for _, t := range s.Targets {
				add(t.DataCentre)
			}
		}
	}
	for _, vm := range e.members.Live() {
		add(vm.DataCentre)
	}
	return e.known
}
