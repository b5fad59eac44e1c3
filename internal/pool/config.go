package pool

import (
	"time"

	"siskintray.example/siskin/pkg/config"
)

// SlotConfig holds the settings of one slot.
type SlotConfig struct {
	Address     string
	Credentials config.Credentials
	// Limit is the maximum number of connections of the slot, over both
	// accounts.
	Limit int
	// OpenTime is the usual time to open a connection.
	OpenTime time.Duration
	// Stateless reports whether requests leave no session state, so that
	// connections need no reset.
	Stateless bool
}

// minIdle is the number of connections that a slot keeps open per account, so
// that the first statement after a pause or a promotion does not wait for an
// opening.
const minIdle = 1

const (
	// maxOpening limits the concurrent openings of a slot, so that a recovered
	// target does not receive all of them at once.
	maxOpening = 4
	// A silent connection must be detected within 3 s. In the worst case this
	// takes probeAfter, probeTimeout, reprobeTimeout and three times
	// maintenanceInterval.
	probeAfter          = 800 * time.Millisecond
	probeTimeout        = 800 * time.Millisecond
	reprobeTimeout      = 400 * time.Millisecond
	maintenanceInterval = 200 * time.Millisecond
	// resetTimeout limits the wait for the answer to DISCARD ALL.
	resetTimeout = time.Second
	// idleTimeout is the idle time after which a connection is closed, if more
	// than minIdle are idle.
	idleTimeout = time.Minute
	// maxBackoff limits the delay between failed openings, so that a recovered
	// target is used within a second.
	maxBackoff = 500 * time.Millisecond
)

func (c SlotConfig) dialTimeout() time.Duration {
	return min(max(10*c.OpenTime, 500*time.Millisecond), 2*time.Second)
}
