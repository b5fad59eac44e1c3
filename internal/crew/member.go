package crew

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// pingInterval is the time between two pings of one peer. A floor for reads
	// is as old as this at most, which is well below the ages that routes allow.
	pingInterval = 300 * time.Millisecond
	// pingTimeout bounds one ping.
	pingTimeout = 500 * time.Millisecond
	// suspectAfter is the silence after which a peer is no longer used as a home.
	suspectAfter = 900 * time.Millisecond
	// poolOwnerInterval is the time between two pings of a VM of a larger fleet that
	// holds pools of rates. Loans live for more than three of them.
	poolOwnerInterval = 450 * time.Millisecond
	// fullMesh is the number of VMs up to which each pings all others.
	fullMesh = 16
	// remoteEvery says that one in so many pings of distant peers goes to another
	// data centre. A VM of a larger fleet pings one distant peer in each
	// interval, in turn. News reach all VMs within the logarithm of their number
	// of intervals.
	remoteEvery = 3
	// deadInterval is the time between two pings of a peer that is silent for
	// long, such as one that was removed.
	deadInterval = 1500 * time.Millisecond
	// deadAfter is the silence after which deadInterval applies.
	deadAfter = 5 * time.Second
	// removedInterval and goneAfter are the same for a peer that was removed, as far
	// as its silence tells.
	removedInterval = 15 * time.Second
	removedAfter    = time.Minute
	// watchedLocal and watchedRemote are the numbers of distant peers of a large
	// fleet, in this data centre and in each other one, that a VM pings in turn.
	// The same ones each time: with all others in turn every VM would keep a
	// connection to every other one.
	watchedLocal, watchedRemote = 3, 1
)

// member is a peer and what is known of its health.
type member struct {
	node    Node
	leaving bool
	// knownSince is when this VM learned of the run.
	knownSince time.Time
	// lastHeard is the time before the question of the last answered ping.
	lastHeard time.Time
	// suspect is set by a failed call and cleared by the next answer.
	suspect      bool
	nextPing     time.Time // of the next ping
	lostPingedAt time.Time // last ping for a report of a relay
	// interval is the time between two pings, zero for a distant peer of a large
	// fleet, which is pinged when its turn comes.
	interval time.Duration
	// listed says that the list of live VMs holds this run of the peer.
	listed bool
	// watched says that a distant peer is pinged in turn.
	watched bool
	// pingFailed says that the last ping was not answered.
	pingFailed        bool
	pinging, fetching bool
}

// alive reports whether the peer may be used. One that is pinged rarely or never
// is held to be alive until a call or ping fails, or its whole data centre is
// silent.
func (c *Crew) alive(m *member, now time.Time) bool {
	switch {
	case m.suspect:
		return false
	case !m.lastHeard.IsZero() && now.Sub(m.lastHeard) < suspectAfter:
		return true
	case m.lastHeard.IsZero() && m.interval != 0:
		return false
	}
	return m.interval != pingInterval && !m.pingFailed && !now.Before(c.silentUntil[m.node.DataCentre])
}

// nextInterval returns the time to the next ping after one that starts now.
func (m *member) nextInterval(now time.Time) time.Duration {
	quiet := m.pingFailed || m.suspect
	switch {
	case quiet && now.Sub(m.knownSince) > removedAfter && now.Sub(m.lastHeard) > removedAfter:
		return removedInterval
	case quiet && now.Sub(m.knownSince) > deadAfter && now.Sub(m.lastHeard) > deadAfter:
		return deadInterval
	case quiet || m.lastHeard.IsZero() && m.interval != 0:
		return pingInterval
	case m.interval == 0:
		return unscheduled
	default:
		return m.interval
	}
}

// PingNow asks for a ping at once, since a call to the VM got no answer.
func (c *Crew) PingNow(id siskin.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[id]; m != nil {
		m.nextPing = time.Time{}
	}
}

// Suspect notes that a call to a VM failed, so that it is not used until it
// answers again.
func (c *Crew) Suspect(id siskin.VMID, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	if m == nil || m.suspect {
		return
	}
	m.suspect = true
	m.nextPing = time.Time{}
	c.cfg.Log.Warn().Err(cause).Str("VM", string(id)).Dur("Silent", c.cfg.Clock.Since(m.lastHeard)).Msg("lost contact to a VM")
	c.updateLive()
}
