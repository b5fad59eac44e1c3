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
	// poolInterval is the time between two pings of a VM of a larger fleet that
	// holds pools of rates. Loans live for more than three of them.
	poolInterval = 450 * time.Millisecond
	// fullMesh is the number of VMs up to which each pings all others.
	fullMesh = 16
	// farEvery says that one in so many pings of distant peers goes to another
	// data centre. A VM of a larger fleet pings one distant peer in each
	// interval, in turn. News reach all VMs within the logarithm of their number
	// of intervals.
	farEvery = 3
	// deadInterval is the time between two pings of a peer that is silent for
	// long, such as one that was removed.
	deadInterval = 1500 * time.Millisecond
	// deadAfter is the silence after which deadInterval applies.
	deadAfter = 5 * time.Second
	// goneInterval and goneAfter are the same for a peer that was removed, as far
	// as its silence tells.
	goneInterval = 15 * time.Second
	goneAfter    = time.Minute
	// watchedLocal and watchedFar are the numbers of distant peers of a large
	// fleet, in this data centre and in each other one, that a VM pings in turn.
	// The same ones each time: with all others in turn every VM would keep a
	// connection to every other one.
	watchedLocal, watchedFar = 3, 1
)

// member is a peer and what is known of its health.
type member struct {
	node    Node
	leaving bool
	// known is when this VM learned of the run.
	known time.Time
	// heard is the time before the question of the last answered ping.
	heard time.Time
	// suspect is set by a failed call and cleared by the next answer.
	suspect bool
	next    time.Time // of the next ping
	doubted time.Time // last ping for a report of a relay
	// every is the time between two pings, zero for a distant peer of a large
	// fleet, which is pinged when its turn comes.
	every time.Duration
	// listed says that the list of live VMs holds this run of the peer.
	listed bool
	// watched says that a distant peer is pinged in turn.
	watched bool
	// failed says that the last ping was not answered.
	failed            bool
	pinging, fetching bool
}

// alive reports whether the peer may be used. One that is pinged rarely or never
// is held to be alive until a call or ping fails, or its whole data centre is
// silent.
func (c *Crew) alive(m *member, now time.Time) bool {
	switch {
	case m.suspect:
		return false
	case !m.heard.IsZero() && now.Sub(m.heard) < suspectAfter:
		return true
	case m.heard.IsZero() && m.every != 0:
		return false
	}
	return m.every != pingInterval && !m.failed && !now.Before(c.silent[m.node.DataCentre])
}

// untilNext returns the time to the next ping after one that starts now.
func (m *member) untilNext(now time.Time) time.Duration {
	quiet := m.failed || m.suspect
	switch {
	case quiet && now.Sub(m.known) > goneAfter && now.Sub(m.heard) > goneAfter:
		return goneInterval
	case quiet && now.Sub(m.known) > deadAfter && now.Sub(m.heard) > deadAfter:
		return deadInterval
	case quiet || m.heard.IsZero() && m.every != 0:
		return pingInterval
	case m.every == 0:
		return untilTurn
	default:
		return m.every
	}
}

// PingNow asks for a ping at once, since a call to the VM got no answer.
func (c *Crew) PingNow(id siskin.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.members[id]; m != nil {
		m.next = time.Time{}
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
	m.next = time.Time{}
	c.cfg.Log.Warn().Err(cause).Str("VM", string(id)).Dur("Silent", c.cfg.Clock.Since(m.heard)).Msg("lost contact to a VM")
	c.publish()
}
