// Package views holds what a VM knows about the roles and positions of targets.
//
// Only the target's own answer proves that it is the primary, since only a
// primary accepts a plain BEGIN. Of two proofs, the one whose request was sent
// later is valid. Every other source that names a primary only suggests which
// target to ask.
package views

import (
	"sync"
	"time"

	"siskintray.example/siskin"
)

// PrimaryProof is evidence that a target was the primary of its service.
type PrimaryProof struct {
	Target siskin.TargetID
	// Position is the end of the target's log, which includes every commit
	// acknowledged before At. It is zero when the answer had no position; the
	// proof then provides no floor for reads.
	Position siskin.Position
	// Term is the term in which the target was the primary, or zero when it is
	// not known.
	Term siskin.Term
	// At is a time just before the request was sent.
	At time.Time
}

// Views holds the state of targets as known to one VM. It is safe for
// concurrent use.
type Views struct {
	mu       sync.RWMutex
	services map[siskin.ServiceName]*service
	targets  map[siskin.TargetID]*Target

	changeTimes changeTimes
}

type service struct {
	proof          PrimaryProof
	deniedAt       map[siskin.TargetID]time.Time // when a target last answered that it is not the primary
	primaryChanged chan struct{}                 // closed when the primary changes
	change         primaryChange
	// leadSince is the time of the first proof since which no other target was
	// known as the primary.
	leadSince time.Time
}

// Target is the last known state of one target.
type Target struct {
	Position siskin.Position
	At       time.Time
	// Load is the number of statements that were queued or running at the
	// target's home, as reported at LoadAt.
	Load   int
	LoadAt time.Time
	// LaggedAt is when the target last answered that it had not reached a
	// floor. It is zero once the target has served a read with a floor.
	LaggedAt time.Time
	// FailedAt is the time of the last failure of a connection or statement.
	FailedAt time.Time
	// Failures counts the failures since the last success.
	Failures int
	// Speed is what is known about the time of statements at the target.
	Speed Speed
}

// New returns Views without any entries.
func New() *Views {
	return &Views{services: make(map[siskin.ServiceName]*service), targets: make(map[siskin.TargetID]*Target)}
}

func (v *Views) service(name siskin.ServiceName) *service {
	s := v.services[name]
	if s == nil {
		s = &service{deniedAt: make(map[siskin.TargetID]time.Time), primaryChanged: make(chan struct{})}
		v.services[name] = s
	}
	return s
}

func (v *Views) target(id siskin.TargetID) *Target {
	t := v.targets[id]
	if t == nil {
		t = &Target{}
		v.targets[id] = t
	}
	return t
}

// RecordProof stores a proof if it is newer than the present one, and reports
// whether the primary changed.
func (v *Views) RecordProof(name siskin.ServiceName, l PrimaryProof) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(name)
	// Any proof replaces that of a target which has denied being the primary
	// since.
	denied := l.Target != s.proof.Target && s.deniedAt[s.proof.Target].After(s.proof.At)
	if !l.At.After(s.proof.At) && !denied {
		return false
	}
	if l.Target == s.proof.Target {
		l.Term = max(l.Term, s.proof.Term)
		s.proof = l
		return false
	}
	if s.proof.Target != "" {
		v.changeTimes.add(l.At.Sub(s.proof.At))
	}
	s.proof, s.leadSince = l, l.At
	s.change = primaryChange{}
	close(s.primaryChanged)
	s.primaryChanged = make(chan struct{})
	return true
}

// RecordDenial records that a target answered at the given time that it is not
// the primary.
func (v *Views) RecordDenial(name siskin.ServiceName, id siskin.TargetID, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(name)
	if at.After(s.deniedAt[id]) {
		s.deniedAt[id] = at
	}
}

// LatestProof returns the newest proof for a service, or the zero value.
func (v *Views) LatestProof(name siskin.ServiceName) PrimaryProof {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if s := v.services[name]; s != nil {
		return s.proof
	}
	return PrimaryProof{}
}

// LeadSince returns since when the target of LatestProof is known as the primary
// without interruption, or zero without a proof.
func (v *Views) LeadSince(name siskin.ServiceName) time.Time {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if s := v.services[name]; s != nil {
		return s.leadSince
	}
	return time.Time{}
}

// Primary returns the target to send writes to. Without a valid proof, that is
// a target which reports itself as the primary and has not denied it since. The
// result is empty when there is none.
func (v *Views) Primary(name siskin.ServiceName, targets []siskin.TargetInfo) siskin.TargetID {
	v.mu.RLock()
	defer v.mu.RUnlock()
	s := v.services[name]
	if s != nil && s.proof.Target != "" && !s.deniedAt[s.proof.Target].After(s.proof.At) && contains(targets, s.proof.Target) {
		return s.proof.Target
	}
	for _, t := range targets {
		if !t.Primary {
			continue
		}
		if s == nil || t.ID != s.proof.Target && s.deniedAt[t.ID].IsZero() {
			return t.ID
		}
	}
	return ""
}

func contains(targets []siskin.TargetInfo, id siskin.TargetID) bool {
	for _, t := range targets {
		if t.ID == id {
			return true
		}
	}
	return false
}

// ClearDenial forgets an earlier denial of a target, because service discovery
// reports it as the primary since its entry changed.
func (v *Views) ClearDenial(name siskin.ServiceName, id siskin.TargetID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.service(name).deniedAt, id)
}

// PrimaryChanged returns a channel that is closed when another target becomes
// the primary.
func (v *Views) PrimaryChanged(name siskin.ServiceName) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.service(name).primaryChanged
}
