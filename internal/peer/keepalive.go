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

func (k *keepalive) sent() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastUsed = k.now()
	if k.pending == 0 {
		k.unansweredSince = k.lastUsed
	}
	k.pending++
}

func (k *keepalive) received() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending--
	k.unansweredSince = k.now()
	k.pingedAt = time.Time{}
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
func (k *keepalive) check() (action, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if k.pending <= 0 {
		if idle := now.Sub(k.lastUsed); idle >= k.idleTimeout {
			return closeIdle, 0
		}
		// Short enough to notice a newly pending request in time, but no shorter:
		// a VM has dozens of idle connections, and each check wakes it up.
		return keepOpen, k.timeout / 4
	}
	waited := now.Sub(k.unansweredSince)
	switch {
	case waited >= k.timeout/2 && k.pingedAt.IsZero():
		k.pingedAt = now
		return sendPing, k.timeout / 8
	case waited >= k.timeout && now.Sub(k.pingedAt) >= k.timeout/2:
		return closeUnresponsive, 0
	default:
		return keepOpen, k.timeout / 8
	}
}
