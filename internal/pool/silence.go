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
	// began is when the first probe of the incident was given up. What was
	// heard earlier can be from before the fault: on a busy machine a probe may
	// have waited for long when the fault cut off its answer.
	began time.Time
	// since is the latest time at which the path of a connection that went
	// silent still worked. The fault lies after it, up to probeAfter and a tick
	// before first.
	since time.Time
	// alive is when the oldest connection that was heard since began was
	// opened. Connections that are as old have proved that theirs is no fault
	// of the path; a younger one may have been opened after it.
	alive time.Time
}

// settle is how long the older siblings of a silent connection have to prove
// that they are not, from the beginning of the incident.
const settle = probeAgain + tick

// incident is the time after the latest unanswered probe from which on another
// one begins a new incident.
const incident = 3 * time.Second

// ambiguity is two intervals of the control connections. A control connection
// that leaves a question unanswered was last heard at most that long before.
const ambiguity = 400 * time.Millisecond

// sameAge is the difference up to which connections count as equally old.
const sameAge = 500 * time.Millisecond

// openTogether is the difference up to which connections count as opened at the
// same time, as those are that a slot opens for one burst of requests. A
// connection opened that soon after a silent one was last heard counts as older
// than the fault.
const openTogether = 100 * time.Millisecond

// probeFailed adds a probe that was sent at the given time and not answered, on
// a connection whose path worked at since. It returns when the incident began.
func (s *silence) probeFailed(since, sent, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent.Sub(s.failed) > incident {
		s.first, s.since, s.began, s.alive = sent, since, now, time.Time{}
	}
	if sent.Before(s.first) { // an earlier question was given up later
		s.first, s.since = sent, since
	}
	// A probe sent later can fail for another reason; it does not move the
	// fault past the first one.
	if since.After(s.since) && since.Before(s.first) {
		s.since = since
	}
	if sent.After(s.failed) {
		s.failed = sent
	}
	return s.began
}

func (s *silence) heard(opened, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.began) && (s.alive.IsZero() || opened.Before(s.alive)) {
		s.alive = opened
	}
}

// isOpen reports whether a probe of the current incident can still decide.
func (s *silence) isOpen(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.failed) <= incident
}

// isSilent reports whether a connection in use that was opened and last heard
// at the given times is to be given up: a sibling of its age did not answer a
// probe sent later, and no other that is as old was heard since.
func (s *silence) isSilent(opened, heard, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	exonerated := !s.alive.IsZero() && s.alive.Before(s.since) && s.alive.Sub(opened) <= sameAge
	return opened.Before(s.first) && !heard.After(s.began) && !exonerated &&
		now.Sub(s.first) >= probeTimeout+settle && now.Sub(s.began) >= settle
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
	if evidence.isOpen(now) {
		// A connection in use that receives data is heard without a probe.
		for c := range s.conns {
			evidence.heard(c.opened, c.lastRead())
		}
	}
	for c := range s.conns {
		if c.state != connBusy || c.silent.Load() {
			continue
		}
		heard := c.lastRead()
		if evidence.isSilent(c.opened, heard, now) || (unreachable && now.Sub(heard) > maxQuiet) {
			s.stats.silent++
			c.giveUp()
		}
	}
}

var longAgo = time.Unix(1, 0)
