package peer

import (
	"sync"
	"time"
)

// keepalive decides when a connection is unresponsive or idle. A connection is
// unresponsive when requests are pending and no response arrived within the
// timeout; cancelled requests count as pending. A ping after half the timeout
// distinguishes a slow handler from an unresponsive connection.
type keepalive struct {
	mu              sync.Mutex
	now             func() time.Time
	timeout         time.Duration
	idleTimeout     time.Duration
	pending         int       // requests without a response
	unansweredSince time.Time // last response, or the first pending request
	lastUsed        time.Time
	pingedAt        time.Time // last ping since the last response; zero if none
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

// action is the result of a keepalive check.
type action int

const (
	keepOpen action = iota
	sendPing
	closeIdle
	closeUnresponsive
)

// check returns the action to take and the time until the next check.
func (a *keepalive) check() (action, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if a.pending <= 0 {
		if idle := now.Sub(a.lastUsed); idle >= a.idleTimeout {
			return closeIdle, 0
		}
		// Short enough to notice a newly pending request in time, but no shorter:
		// a VM has dozens of idle connections, and each check wakes it up.
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
