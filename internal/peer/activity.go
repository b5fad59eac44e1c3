package peer

import (
	"sync"
	"time"
)

// activity decides when a connection is silent or idle. A connection is
// silent when requests wait for an answer and nothing arrived for the silent
// time; given-up requests count as waiting. Halfway a ping tells a slow
// handler from a silent connection.
type activity struct {
	mu          sync.Mutex
	now         func() time.Time
	silentAfter time.Duration
	idleAfter   time.Duration
	waiting     int       // requests without an answer
	since       time.Time // last answer, or the first request that waits
	lastUse     time.Time
	pinged      time.Time // last ping since the last answer; zero when there was none
}

func newActivity(cfg *Config, now func() time.Time) *activity {
	return &activity{now: now, silentAfter: cfg.KeepaliveTimeout, idleAfter: cfg.IdleTimeout, lastUse: now(), since: now()}
}

func (a *activity) sent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastUse = a.now()
	if a.waiting == 0 {
		a.since = a.lastUse
	}
	a.waiting++
}

func (a *activity) received() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
	a.since = a.now()
	a.pinged = time.Time{}
}

// verdict is what to do with a connection.
type verdict int

const (
	keep verdict = iota
	ping
	closeIdle
	closeSilent
)

// check returns what to do now, and when to check again.
func (a *activity) check() (verdict, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if a.waiting <= 0 {
		if idle := now.Sub(a.lastUse); idle >= a.idleAfter {
			return closeIdle, 0
		}
		// Also short enough to notice a request soon that starts to wait. A VM has
		// dozens of idle connections, and each look wakes it up.
		return keep, a.silentAfter / 4
	}
	silent := now.Sub(a.since)
	switch {
	case silent >= a.silentAfter/2 && a.pinged.IsZero():
		a.pinged = now
		return ping, a.silentAfter / 8
	case silent >= a.silentAfter && now.Sub(a.pinged) >= a.silentAfter/2:
		return closeSilent, 0
	default:
		return keep, a.silentAfter / 8
	}
}
