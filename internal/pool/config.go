package pool

import (
	"time"

	"siskintray.example/siskin/pkg/config"
)

// SlotConfig holds the settings of one slot.
type SlotConfig struct {
	Address     string
	Credentials config.Credentials
	// Limit is the most connections of the slot, over both accounts.
	Limit int
	// OpenTime is how long the opening of a connection usually takes.
	OpenTime time.Duration
	// Stateless says that requests leave no session state behind, so that
	// connections need no reset.
	Stateless bool
}

// minIdle is the number of connections that a slot keeps open per account, so
// that the first statement after a pause or a promotion does not wait for one.
const minIdle = 1

const (
	// maxOpening bounds the connections of a slot that open at the same time,
	// so that a target that comes back is not met by all openings at once.
	maxOpening = 4
	// A silent connection must be found within 3 s. In the longest case, probeAfter,
	// probeTimeout, probeAgain and three ticks pass.
	probeAfter          = 800 * time.Millisecond
	probeTimeout        = 800 * time.Millisecond
	reprobeTimeout      = 400 * time.Millisecond
	maintenanceInterval = 200 * time.Millisecond
	// resetTimeout bounds the wait for the answer to DISCARD ALL.
	resetTimeout = time.Second
	// idleTimeout is the age from which a connection above the floor is closed.
	idleTimeout = time.Minute
	// maxBackoff bounds the wait between failed openings, so that a target that
	// came back is used within a second.
	maxBackoff = 500 * time.Millisecond
)

func (c SlotConfig) dialTimeout() time.Duration {
	return min(max(10*c.OpenTime, 500*time.Millisecond), 2*time.Second)
}
