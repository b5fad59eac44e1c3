package pool

import (
	"slices"
	"time"

	"siskintray.example/siskin"
)

// maintain probes idle connections, closes unneeded ones, aborts reads on
// silent ones and opens missing ones.
func (s *slot) maintain(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for account := range s.idle {
		for _, c := range slices.Clone(s.idle[account]) {
			switch {
			case now.Sub(c.idleSince) > idleTimeout && len(s.idle[account]) > minIdle:
				s.removeLocked(c)
			case now.Sub(c.lastHeardAt) >= probeAfter:
				s.probeLocked(c, probeTimeout)
			}
		}
	}
	s.probeReserved(now)
	s.abortSilent(now)
	s.abortLost(now)
	s.checkQuiet(now)
	s.openMissing()
}

// probeLocked probes an idle connection, which is not available meanwhile.
func (s *slot) probeLocked(c *Conn, timeout time.Duration) {
	i := slices.Index(s.idle[c.account], c)
	if i < 0 {
		return
	}
	s.idle[c.account] = slices.Delete(s.idle[c.account], i, i+1)
	c.state = connProbing
	s.pool.start(s.pool.probers, func() { s.probe(c, timeout) })
}

func (s *slot) probe(c *Conn, timeout time.Duration) {
	defer s.closeAfterPanic(c)
	sent := s.pool.clock.Now()
	heardAt, idleSince := c.lastRead(), c.idleSince
	if !c.answersProbe(timeout) {
		s.closeSilent(c, heardAt, sent)
		return
	}
	s.putProbed(c, idleSince)
}

// putProbed returns a connection to the slot after a statement of the pool
// itself, which does not count as use.
func (s *slot) putProbed(c *Conn, idleSince time.Time) {
	s.put(c)
	s.mu.Lock()
	if c.state == connIdle {
		c.idleSince = idleSince // a probe does not count as use
	}
	s.mu.Unlock()
}

// closeSilent closes a connection that last received data at heardAt and did
// not answer a probe sent later. It then probes the idle connections to the
// same target: a fault on the path affects connections of the same age
// together, so their answers are evidence for those in use.
func (s *slot) closeSilent(c *Conn, heardAt, sent time.Time) {
	s.mu.Lock()
	s.stats.silent++
	s.mu.Unlock()
	detectedAt := s.pool.detectorOf(s.key.Target).probeFailed(heardAt.Add(burstTolerance), sent, s.pool.clock.Now())
	s.remove(c, nil)
	err := siskin.NewError(siskin.Unavailable, "connection to target %s went silent", s.key.Target)
	if s.pool.onFailure != nil && s.pool.ctx.Err() == nil {
		s.pool.onFailure(s.key.Target, err)
	}
	s.pool.probeIdle(s.key.Target, detectedAt)
}

// probeOlder probes the idle connections that received no data after the given
// time.
func (s *slot) probeOlder(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for account := range s.idle {
		for _, c := range slices.Clone(s.idle[account]) {
			if !c.lastHeardAt.After(before) {
				s.probeLocked(c, reprobeTimeout)
			}
		}
	}
}
