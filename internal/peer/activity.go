package peer

import (
	"sync"
	"time"
)

// keepalive decides when a connection is silent or idle. A connection is
// silent when requests wait for an answer and nothing arrived for the silent
// time; given-up requests count as waiting. Halfway a ping tells a slow
// handler from a silent connection.
type keepalive struct {
	mu              sync.Mutex
	now             func() time.Time
	timeout         time.Duration
	idleTimeout     time.Duration
	pending         int       // requests without an answer
	unansweredSince time.Time // last answer, or the first request that waits
	lastUsed        time.Time
	pingedAt        time.Time // last ping since the last answer; zero when there was none
}

func newKeepalive(cfg *Config, now func() time.Time) *keepalive {
	return &keepalive{now: now, timeout: cfg.KeepaliveTimeout, idleTimeout: cfg.IdleTimeout, lastUsed: now(), unansweredSince: now()}
}

func (a *keepalive) sent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastUsed = a.now()
	if a.pending == 0 {
		a.unansweredSince = a.lastUsed
	}
	a.pending++
}

func (a *keepalive) received() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending--
	a.unansweredSince = a.now()
	a.pingedAt = time.Time{}
}

// action is what to do with a connection.
type action int

const (
	keepOpen action = iota
	sendPing
	closeIdle
	closeUnresponsive
)

// check returns what to do now, and when to check again.
func (a *keepalive) check() (action, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if a.pending <= 0 {
		if idle := now.Sub(a.lastUsed); idle >= a.idleTimeout {
			return closeIdle, 0
		}
		// Also short enough to notice a request soon that starts to wait. A VM has
		// dozens of idle connections, and each look wakes it up.
		return keepOpen, a.timeout / 4
	}
	waited := now.Sub(a.unansweredSince)
	switch {
	case waited >= a.timeout/2 && a.pingedAt.IsZero():
		a.pingedAt = now
		return sendPing, a.timeout / 8
	case waited >= a.timeout && now.Sub(a.pingedAt) >= a.timeout/2:
		return closeUnresponsive, 0
	default:
		return keepOpen, a.timeout / 8
	}
}
