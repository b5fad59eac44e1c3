package pool

import (
	"sync"
	"time"

	"siskintray.example/siskin"
)

// silenceDetector collects the evidence that old connections to a target went silent
// while the target may still accept new ones.
type silenceDetector struct {
	mu sync.Mutex
	// firstSent and lastSent are when the firstSent and the latest unanswered probe of
	// one incident were sent. Connections that replace silent ones are opened
	// after firstSent; they say nothing about the older ones.
	firstSent, lastSent time.Time
	// detectedAt is when the first probe of the incident was given up. What was
	// heard earlier can be from before the fault: on a busy machine a probe may
	// have waited for long when the fault cut off its answer.
	detectedAt time.Time
	// pathWorkedAt is the latest time at which the path of a connection that went
	// silent still worked. The fault lies after it, up to probeAfter and a tick
	// before first.
	pathWorkedAt time.Time
	// oldestHeard is when the oldest connection that was heard since began was
	// opened. Connections that are as old have proved that theirs is no fault
	// of the path; a younger one may have been opened after it.
	oldestHeard time.Time
}

// reprobeWindow is how long the older siblings of a silent connection have to prove
// that they are not, from the beginning of the incident.
const reprobeWindow = reprobeTimeout + maintenanceInterval

// incidentTimeout is the time after the latest unanswered probe from which on another
// one begins a new incidentTimeout.
const incidentTimeout = 3 * time.Second

// maxControlQuiet is two intervals of the control connections. A control connection
// that leaves a question unanswered was last heard at most that long before.
const maxControlQuiet = 400 * time.Millisecond

// sameAgeTolerance is the difference up to which connections count as equally old.
const sameAgeTolerance = 500 * time.Millisecond

// burstTolerance is the difference up to which connections count as opened at the
// same time, as those are that a slot opens for one burst of requests. A
// connection opened that soon after a silent one was last heard counts as older
// than the fault.
const burstTolerance = 100 * time.Millisecond

// probeFailed adds a probe that was sent at the given time and not answered, on
// a connection whose path worked at since. It returns when the incident began.
func (s *silenceDetector) probeFailed(pathWorkedAt, sent, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent.Sub(s.lastSent) > incidentTimeout {
		s.firstSent, s.pathWorkedAt, s.detectedAt, s.oldestHeard = sent, pathWorkedAt, now, time.Time{}
	}
	if sent.Before(s.firstSent) { // an earlier question was given up later
		s.firstSent, s.pathWorkedAt = sent, pathWorkedAt
	}
	// A probe sent later can fail for another reason; it does not move the
	// fault past the first one.
	if pathWorkedAt.After(s.pathWorkedAt) && pathWorkedAt.Before(s.firstSent) {
		s.pathWorkedAt = pathWorkedAt
	}
	if sent.After(s.lastSent) {
		s.lastSent = sent
	}
	return s.detectedAt
}

func (s *silenceDetector) recordHeard(openedAt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.After(s.detectedAt) && (s.oldestHeard.IsZero() || openedAt.Before(s.oldestHeard)) {
		s.oldestHeard = openedAt
	}
}

// inIncident reports whether a probe of the current incident can still decide.
func (s *silenceDetector) inIncident(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastSent) <= incidentTimeout
}

// isSilent reports whether a connection in use that was opened and last heard
// at the given times is to be given up: a sibling of its age did not answer a
// probe sent later, and no other that is as old was heard since.
func (s *silenceDetector) isSilent(openedAt, heardAt, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	siblingHeard := !s.oldestHeard.IsZero() && s.oldestHeard.Before(s.pathWorkedAt) && s.oldestHeard.Sub(openedAt) <= sameAgeTolerance
	return openedAt.Before(s.firstSent) && !heardAt.After(s.detectedAt) && !siblingHeard &&
		now.Sub(s.firstSent) >= probeTimeout+reprobeWindow && now.Sub(s.detectedAt) >= reprobeWindow
}

func (p *Pool) detectorOf(target siskin.TargetID) *silenceDetector {
	return p.detectors.GetOrCreate(target, func() *silenceDetector { return new(silenceDetector) })
}

// maxQuietUnreachable is how long a connection in use may be quiet when its target is
// reported as unreachable.
const maxQuietUnreachable = 2 * time.Second

// abortSilent ends the wait on connections in use that went silent. The caller
// holds mu.
func (s *slot) abortSilent(now time.Time) {
	if s.busy[Full]+s.busy[ReadOnly] == 0 {
		return // most slots of an idle VM; the question for the target costs more than all else
	}
	detector := s.pool.detectorOf(s.key.Target)
	unreachable := s.pool.reachable != nil && !s.pool.reachable(s.key.Target)
	if detector.inIncident(now) {
		// A connection in use that receives data is heard without a probe.
		for c := range s.conns {
			detector.recordHeard(c.openedAt, c.lastRead())
		}
	}
	for c := range s.conns {
		if c.state != connBusy || c.silent.Load() {
			continue
		}
		heard := c.lastRead()
		if detector.isSilent(c.openedAt, heard, now) || (unreachable && now.Sub(heard) > maxQuietUnreachable) {
			s.stats.silent++
			c.abortRead()
		}
	}
}

var longAgo = time.Unix(1, 0)
