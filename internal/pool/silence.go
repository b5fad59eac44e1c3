package pool

import (
	"sync"
	"time"

	"siskintray.example/siskin"
)

// silence collects the evidence that old connections to a target went silent
// while the target may still accept new ones.
type silence struct {
	mu sync.Mutex
	// first and failed are when the first and the latest unanswered probe of
	// one incident were sent. Connections that replace silent ones are opened
	// after first; they say nothing about the older ones.
	first, failed time.Time
	// alive is when the oldest connection that was heard since first was
	// opened. Connections that are as old have proved that theirs is no fault
	// of the path; a younger one may have been opened after it.
	alive time.Time
}

// settle is how long the older siblings of a silent connection have to prove
// that they are not.
const settle = probeAgain + tick

// incident is the time after the latest unanswered probe from which on another
// one begins a new incident.
const incident = 3 * time.Second

// ambiguity is the time around the first unanswered probe in which the fault
// lies: two intervals of the control connections. A connection that was opened
// before the probe by less may be younger than the fault and clears none; one
// that was heard after it by less may have been heard before the fault, since
// the answer to the probe can be what the fault cut off.
const ambiguity = 400 * time.Millisecond

// sameAge is the difference up to which connections count as equally old. It is
// about the time between a fault and its first unanswered probe, so that a
// connection opened after the fault seldom clears one from before it.
const sameAge = 500 * time.Millisecond

func (s *silence) probeFailed(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case sent.Sub(s.failed) > incident:
		s.first, s.alive = sent, time.Time{}
	case sent.Before(s.first):
		s.first = sent // an earlier question was given up later
	}
	if sent.After(s.failed) {
		s.failed = sent
	}
}

func (s *silence) heard(opened, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.first.Add(ambiguity)) && (s.alive.IsZero() || opened.Before(s.alive)) {
		s.alive = opened
	}
}

// isSilent reports whether a connection in use that was opened and last heard
// at the given times is to be given up: a sibling of its age did not answer a
// probe sent later, and no other that is as old was heard since.
func (s *silence) isSilent(opened, heard, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	exonerated := !s.alive.IsZero() && s.alive.Before(s.first.Add(-ambiguity)) && s.alive.Sub(opened) <= sameAge
	return opened.Before(s.first) && heard.Before(s.first.Add(ambiguity)) && !exonerated &&
		now.Sub(s.first) >= probeTimeout+settle
}

func (p *Pool) silenceOf(target siskin.TargetID) *silence {
	return p.silences.GetOrCreate(target, func() *silence { return new(silence) })
}

// maxQuiet is how long a connection in use may be quiet when its target is
// reported as unreachable.
const maxQuiet = 2 * time.Second

// giveUpSilent ends the wait on connections in use that went silent. The caller
// holds mu.
func (s *slot) giveUpSilent(now time.Time) {
	if s.busy[Full]+s.busy[ReadOnly] == 0 {
		return // most slots of an idle VM; the question for the target costs more than all else
	}
	evidence := s.pool.silenceOf(s.key.Target)
	unreachable := s.pool.reachable != nil && !s.pool.reachable(s.key.Target)
	for c := range s.conns {
		if c.state != connBusy || c.silent.Load() {
			continue
		}
		heard := c.lastRead()
		if evidence.isSilent(c.opened, heard, now) || (unreachable && now.Sub(heard) > maxQuiet) {
			s.stats.silent++
			c.silent.Store(true)
			_ = c.SetReadDeadline(longAgo) // fails only when closed already
		}
	}
}

var longAgo = time.Unix(1, 0)
