package pool

import (
	"time"

	"siskintray.example/siskin"
)

// Demote ends the use of the full account's connections to a target that was
// replaced as the primary: what was written there cannot be confirmed anymore,
// so that waiting for it until the deadline serves nobody. Waiting requests
// are refused as not run.
func (p *Pool) Demote(target siskin.TargetID) {
	now := p.clock.Now()
	p.slots.Range(func(key Key, s *slot) bool {
		if key.Target == target {
			s.demote(now)
		}
		return true
	})
}

func (s *slot) demote(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demoted = now
	s.failWaiters(Full, siskin.NewError(siskin.NotRun, "target %s is no longer the primary", s.key.Target).
		WithRemedy("repeat the request; it goes to the primary"))
	for len(s.idle[Full]) > 0 {
		s.removeLocked(s.idle[Full][0])
	}
	s.giveUpSilent(now)
}

// isDemoted reports whether the connection was opened to a primary that has
// been replaced since.
func (s *slot) isDemoted(c *Conn) bool {
	return c.account == Full && c.opened.Before(s.demoted)
}
