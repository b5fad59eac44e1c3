package daemon

import (
	"slices"
	"sync"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
	"siskintray.example/siskin/pkg/keys"
)

// evidence connects the spread of the configuration with the rule on keys: what
// proves that the configuration is the newest proves that no withdrawal was
// missed.
type evidence struct {
	tracker *keys.Tracker
	members siskin.Members

	mu     sync.Mutex
	view   config.View // set when the configuration exists
	seen   <-chan struct{}
	places []siskin.DataCentreID
}

func newEvidence(members siskin.Members) *evidence {
	return &evidence{tracker: keys.NewTracker(members.Self().DataCentre), members: members}
}

func (e *evidence) setView(view config.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view = view
}

// PlatformAnswered implements spread.ProofTracker.
func (e *evidence) PlatformAnswered(sent time.Time) { e.tracker.PlatformAnswered(sent) }

// PeerProof implements spread.ProofTracker.
func (e *evidence) PeerProof(sent time.Time, age time.Duration) { e.tracker.PeerProof(sent, age) }

// PeerPlatform implements spread.ProofTracker.
func (e *evidence) PeerPlatform(dc siskin.DataCentreID, sent time.Time, down bool) {
	e.tracker.PeerPlatform(dc, sent, down)
}

// Age implements spread.ProofTracker.
func (e *evidence) Age(now time.Time) time.Duration {
	last := e.current().Last()
	if last.IsZero() {
		return -1
	}
	return now.Sub(last)
}

// current returns the evidence for the rule on keys.
func (e *evidence) current() keys.Evidence { return e.tracker.Evidence(e.dataCentres()) }

// dataCentres returns the data centres of all targets and of all live VMs. The
// targets' are needed because a data centre that is cut off has no live VM in
// this VM's view and may still accept a withdrawal.
func (e *evidence) dataCentres() []siskin.DataCentreID {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.view == nil {
		return nil
	}
	if e.seen != nil {
		select {
		case <-e.seen:
		default:
			return e.places
		}
	}
	e.seen = e.view.Changed()
	e.places = nil
	add := func(dc siskin.DataCentreID) {
		if !slices.Contains(e.places, dc) {
			e.places = append(e.places, dc)
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
	return e.places
}
