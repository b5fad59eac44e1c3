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
	// failed is when the latest unanswered probe was sent, and alive when a
	// connection opened before that was last heard.
	failed, alive time.Time
}

// settle is how long the older siblings of a silent connection have to prove
// that they are not.
const settle = probeAgain + tick

func (s *silence) probeFailed(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sent.After(s.failed) {
		s.failed = sent
	}
}

func (s *silence) heard(opened, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if opened.Before(s.failed) {
		s.alive = now
	}
}

// isSilent reports whether a connection in use that was opened and last heard
// at the given times is to be given up: a sibling of its age did not answer a
// probe sent later, and no other of that age was heard since.
func (s *silence) isSilent(opened, heard, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return opened.Before(s.failed) && heard.Before(s.failed) && s.alive.Before(s.failed) &&
		now.Sub(s.failed) >= probeTimeout+settle
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
