package pool

import (
	"sync"
	"time"

	"siskintray.example/siskin"
)

// silenceDetector collects evidence that old connections to a target are
// silent, which means that nothing arrives on them anymore, while the target
// may still accept new ones. Unanswered probes within a short time form one
// incident.
type silenceDetector struct {
	mu sync.Mutex
	// firstSent and lastSent are when the first and the latest unanswered probe
	// of an incident were sent. Connections that replace silent ones are opened
	// after firstSent, so they are no evidence about older ones.
	firstSent, lastSent time.Time
	// detectedAt is when the first probe of the incident timed out. Data that
	// was received earlier may be from before the fault: on a busy machine, a
	// probe may have waited for a long time before the fault cut off its
	// answer.
	detectedAt time.Time
	// pathWorkedAt is the latest time at which the path of a connection that
	// became silent still worked. The fault came after it, and at most
	// probeAfter and maintenanceInterval before firstSent.
	pathWorkedAt time.Time
	// oldestHeard is the opening time of the oldest connection on which data
	// was received after detectedAt. Connections of the same age are not
	// affected by a fault on the path. A younger one may have been opened after
	// the fault.
	oldestHeard time.Time
}

// reprobeWindow is the time, from detectedAt, in which other connections to the
// target can answer a probe and so prove that they are not silent.
const reprobeWindow = reprobeTimeout + maintenanceInterval

// incidentTimeout is the time after the latest unanswered probe from which
// another one begins a new incident.
const incidentTimeout = 3 * time.Second

// maxControlQuiet is two probe intervals of the control connections. A control
// connection that does not answer a probe last received data at most that long
// before it.
const maxControlQuiet = 400 * time.Millisecond

// sameAgeTolerance is the maximum difference between the opening times of
// connections that count as equally old.
const sameAgeTolerance = 500 * time.Millisecond

// burstTolerance is the maximum difference between the opening times of
// connections that count as opened together, as a slot opens several for one
// burst of requests. A connection that was opened that soon after data was last
// received on a silent one counts as older than the fault.
const burstTolerance = 100 * time.Millisecond

// probeFailed records an unanswered probe that was sent at the given time on a
// connection whose path worked at pathWorkedAt. It returns the time at which
// the incident was detected.
func (s *silenceDetector) probeFailed(pathWorkedAt, sent, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent.Sub(s.lastSent) > incidentTimeout {
		s.firstSent, s.pathWorkedAt, s.detectedAt, s.oldestHeard = sent, pathWorkedAt, now, time.Time{}
	}
	if sent.Before(s.firstSent) { // an earlier probe timed out later
		s.firstSent, s.pathWorkedAt = sent, pathWorkedAt
	}
	// A probe sent later may fail for another reason, so it does not move the
	// time of the fault past firstSent.
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

// inIncident reports whether an incident is in progress.
func (s *silenceDetector) inIncident(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastSent) <= incidentTimeout
}

// isSilent reports whether a connection in use, with its opening time and the
// time of the last received data, is silent: another connection of its age did
// not answer a probe sent later, and no connection that is as old received data
// since.
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

// maxQuietUnreachable is the maximum time without received data on a connection
// in use while its target is reported as unreachable.
const maxQuietUnreachable = 2 * time.Second

// abortSilent aborts the reads on connections in use that are silent. The
// caller holds mu.
func (s *slot) abortSilent(now time.Time) {
	if s.busy[Full]+s.busy[ReadOnly] == 0 {
		return // common on an idle VM, where looking up the target would dominate the cost
	}
	detector := s.pool.detectorOf(s.key.Target)
	unreachable := s.pool.reachable != nil && !s.pool.reachable(s.key.Target)
	if detector.inIncident(now) {
		// Data received on a connection in use counts like the answer to a
		// probe.
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
