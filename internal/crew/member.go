package crew

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// pingInterval is the time between two pings of a peer. The proven position
	// that reads rely on is at most this old, which is well below the staleness
	// that routes allow.
	pingInterval = 300 * time.Millisecond
	// pingTimeout bounds one ping.
	pingTimeout = 500 * time.Millisecond
	// suspectAfter is the time without an answer after which a peer is no
	// longer used as a home.
	suspectAfter = 900 * time.Millisecond
	// poolOwnerInterval is the time between two pings of a VM that owns token
	// pools, in a larger fleet. A loan is valid for more than three intervals.
	poolOwnerInterval = 450 * time.Millisecond
	// fullMeshSize is the fleet size up to which each VM pings all others.
	fullMeshSize = 16
	// One in remoteEvery pings of distant peers goes to another data centre.
	// Distant peers are those without a regular interval: a VM of a larger
	// fleet pings one of them per interval, in turn. An update reaches all VMs
	// in a number of intervals that is logarithmic in the size of the fleet.
	remoteEvery = 3
	// deadInterval is the time between two pings of a peer that has not
	// answered for deadAfter, for instance because it was removed.
	deadInterval = 1500 * time.Millisecond
	// deadAfter is the time without an answer after which deadInterval applies.
	deadAfter = 5 * time.Second
	// removedInterval and removedAfter correspond to deadInterval and deadAfter
	// for a peer that was probably removed, because it has not answered for
	// even longer.
	removedInterval = 15 * time.Second
	removedAfter    = time.Minute
	// watchedLocal and watchedRemote are the numbers of distant peers of a
	// large fleet that a VM pings in turn, in its own data centre and in each
	// other one. They are the same peers each time: if all others took turns,
	// every VM would keep a connection to every other one.
	watchedLocal, watchedRemote = 3, 1
)

// member is a peer with its health.
type member struct {
	node    Node
	leaving bool
	// knownSince is the time when this VM learned of this run of the peer.
	knownSince time.Time
	// lastHeard is the time when the last answered ping was sent.
	lastHeard time.Time
	// targets is the version of the peer's list of targets in that answer.
	targets siskin.Version
	// rights is the last version of the record of shares that the peer was known
	// to know, and boundsRights tells whether it bounds the use of its share.
	rights       siskin.Version
	boundsRights bool
	// suspect is set by a failed call and cleared by the next answered ping.
	suspect      bool
	nextPing     time.Time // when the next ping is due
	lostPingedAt time.Time // last ping after a relay reported the peer as lost
	// interval is the time between two pings. It is zero for a distant peer of
	// a large fleet, which is pinged only when choosePeers selects it.
	interval time.Duration
	// listed is set while the list of live VMs contains this run of the peer.
	listed bool
	// watched is set for a distant peer that is pinged in turn.
	watched bool
	// pingFailed is set when the last ping was not answered.
	pingFailed bool
	// pinging and fetching are set while a ping of the peer, or a fetch of its
	// data, is in progress.
	pinging, fetching bool
}

// alive reports whether the peer may be used. A peer that is pinged rarely or
// never counts as alive until a call or ping fails, or its whole data centre is
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

// nextInterval returns the time from a ping that starts now to the next one.
func (m *member) nextInterval(now time.Time) time.Duration {
	unresponsive := m.pingFailed || m.suspect
	switch {
	case unresponsive && now.Sub(m.knownSince) > removedAfter && now.Sub(m.lastHeard) > removedAfter:
		return removedInterval
	case unresponsive && now.Sub(m.knownSince) > deadAfter && now.Sub(m.lastHeard) > deadAfter:
		return deadInterval
	case unresponsive || m.lastHeard.IsZero() && m.interval != 0:
		return pingInterval
	case m.interval == 0:
		return unscheduled
	default:
		return m.interval
	}
}

// PingNow schedules a ping for the next tick because a call to the VM was not
// answered, or it has closed a connection.
func (c *Crew) PingNow(id siskin.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[id]; m != nil {
		m.nextPing = time.Time{}
	}
}

// Suspect records that a call to a VM failed. The VM is not used until it
// answers a ping.
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
