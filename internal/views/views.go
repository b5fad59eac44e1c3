// Package views holds what a VM knows of the roles and positions of targets.
//
// A target's lead is proven by its own answer: only a primary accepts a plain
// BEGIN. Of two proofs the one whose question was sent later holds. Everything
// else that names a primary is a hint of where to ask.
package views

import (
	"sync"
	"time"

	"siskintray.example/siskin"
)

// PrimaryProof is a proof that a target led its service.
type PrimaryProof struct {
	Target siskin.TargetID
	// Position is the end of the target's log, which covers every commit
	// acknowledged before At. It is zero when the proof came without one, and
	// then no floor.
	Position siskin.Position
	// Term is the term that the target led, zero when it is not known.
	Term siskin.Term
	// At is the moment before the question was sent.
	At time.Time
}

// Views holds the knowledge of one VM. It is safe for concurrent use.
type Views struct {
	mu       sync.RWMutex
	services map[siskin.ServiceName]*service
	targets  map[siskin.TargetID]*Target
}

type service struct {
	proof          PrimaryProof
	deniedAt       map[siskin.TargetID]time.Time // when a target denied to lead
	primaryChanged chan struct{}                 // closed when the leading target changes
	change         primaryChange
}

// Target is what is known of one target.
type Target struct {
	Position siskin.Position
	At       time.Time
	// Load is the number of statements that waited or ran at the target's home,
	// as last reported, at the time LoadAt.
	Load   int
	LoadAt time.Time
	// LaggedAt is when the target last answered that it lacks a floor, zero since
	// it served one.
	LaggedAt time.Time
	// FailedAt is the last failure of a connection or statement.
	FailedAt time.Time
	// Failures counts the failures since the last success.
	Failures int
}

// New returns empty views.
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

// RecordProof takes over a proof of lead and reports whether the leading target
// changed.
func (v *Views) RecordProof(name siskin.ServiceName, l PrimaryProof) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(name)
	// A proof of a target that has denied its lead since gives way to any other.
	denied := l.Target != s.proof.Target && s.deniedAt[s.proof.Target].After(s.proof.At)
	if !l.At.After(s.proof.At) && !denied {
		return false
	}
	if l.Target == s.proof.Target {
		l.Term = max(l.Term, s.proof.Term)
		s.proof = l
		return false
	}
	s.proof = l
	s.change = primaryChange{}
	close(s.primaryChanged)
	s.primaryChanged = make(chan struct{})
	return true
}

// RecordDenial notes that a target answered at the given time that it does not lead.
func (v *Views) RecordDenial(name siskin.ServiceName, id siskin.TargetID, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.service(name)
	if at.After(s.deniedAt[id]) {
		s.deniedAt[id] = at
	}
}

// LatestProof returns the newest proof of a service.
func (v *Views) LatestProof(name siskin.ServiceName) PrimaryProof {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if s := v.services[name]; s != nil {
		return s.proof
	}
	return PrimaryProof{}
}

// Primary returns the target to send writes to. Without a proof that still
// holds it is a target that sees itself as primary and has not denied it since;
// the result is empty when there is none.
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

// ClearDenial notes that discovery reports a target as primary since a change of its
// entry, so that an earlier denial no longer counts.
func (v *Views) ClearDenial(name siskin.ServiceName, id siskin.TargetID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.service(name).deniedAt, id)
}

// PrimaryChanged returns a channel that is closed when another target leads.
func (v *Views) PrimaryChanged(name siskin.ServiceName) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.service(name).primaryChanged
}

// RecordPosition takes over a position that a target reported.
func (v *Views) RecordPosition(id siskin.TargetID, p siskin.Position, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.target(id)
	if at.After(t.At) && !p.IsZero() {
		t.Position, t.At = p, at
	}
}

// RecordLoad takes over the number of statements at a target's home.
func (v *Views) RecordLoad(id siskin.TargetID, load int, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if t := v.target(id); at.After(t.LoadAt) {
		t.Load, t.LoadAt = load, at
	}
}

// RecordLag notes that a target lacked the floor of a read.
func (v *Views) RecordLag(id siskin.TargetID, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.target(id).LaggedAt = at
}

// ClearLag notes that a target had the floor of a read.
func (v *Views) ClearLag(id siskin.TargetID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.target(id).LaggedAt = time.Time{}
}

// RecordSuccess notes a success of a target.
func (v *Views) RecordSuccess(id siskin.TargetID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.target(id).Failures = 0
}

// RecordFailure notes a failure of a target.
func (v *Views) RecordFailure(id siskin.TargetID, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	t := v.target(id)
	t.FailedAt = at
	t.Failures++
}

// Target returns what is known of one target.
func (v *Views) Target(id siskin.TargetID) Target {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if t := v.targets[id]; t != nil {
		return *t
	}
	return Target{}
}
