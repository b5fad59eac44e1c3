package crew

import (
	"cmp"
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/place"
)

// tick is the resolution of the ping schedule.
const tick = 50 * time.Millisecond

// seedInterval is the time between two pings of the seeds by a VM that knows no
// other live VM. After a loss of power the seeds may start later than it.
const seedInterval = 100 * time.Millisecond

// unscheduled is the interval of a peer that is pinged only when choosePeers
// selects it. It is longer than any time until then.
const unscheduled = time.Hour

func (c *Crew) loop() {
	var refreshedAt time.Time // last time that PriorityPeers was called
	for {
		armed := c.cfg.Clock.Now()
		select {
		case <-c.stop:
			return
		case <-c.cfg.Clock.After(tick):
		}
		fired := c.cfg.Clock.Now()
		c.updateOverload(fired, fired.Sub(armed)-tick)
		if now := c.cfg.Clock.Now(); now.Sub(refreshedAt) >= pingInterval {
			refreshedAt = now
			if version, read := c.limiter.RightsVersion(); version != 0 && c.HasLatestRights(version, read) {
				c.limiter.RecordContact(version, c.cfg.Clock.Now().Add(-latestContactAge))
			}
			c.limiter.LendToSelf()
			priority := c.cfg.PriorityPeers()
			c.mu.Lock()
			c.priority = priority
			c.mu.Unlock()
		}
		c.schedule()
	}
}

// schedule starts the pings that are due.
func (c *Crew) schedule() {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.chosenAt) >= pingInterval {
		c.chosenAt = now
		c.choosePeers(now)
	}
	for id, m := range c.members {
		if m.pinging || now.Before(m.nextPing) {
			continue
		}
		m.pinging, m.nextPing = true, now.Add(m.nextInterval(now))
		created := c.cfg.Clock.Now()
		c.done.Go(func() {
			c.recordStart(created)
			c.ping(id)
		})
	}
	c.updateLive()
	if len(c.live) < 2 && now.Sub(c.seedsPingedAt) >= seedInterval {
		c.seedsPingedAt = now
		for _, address := range c.cfg.Seeds {
			if address != c.cfg.Self.Address {
				c.done.Go(func() { c.ping(siskin.AddressID(address)) })
			}
		}
	}
}

// choosePeers sets the ping interval of each peer. In a large fleet it also
// selects the relay and the distant peer to ping next. The caller holds mu.
func (c *Crew) choosePeers(now time.Time) {
	large := len(c.members) >= fullMeshSize
	c.relay = large && c.isRelay(c.cfg.Self.ID, c.cfg.Self.DataCentre)
	if large {
		c.chooseWatched()
	}
	var distant, relays []*member
	for _, m := range c.members {
		before := m.interval
		if m.interval = pingInterval; large {
			m.interval = c.largeFleetInterval(m)
		}
		if m.interval != 0 && m.interval != before {
			m.nextPing = now
		}
		switch {
		case m.interval != 0 || m.pinging:
		case !c.relay && c.isLocal(m) && c.isRelay(m.node.ID, m.node.DataCentre):
			relays = append(relays, m)
		case m.watched:
			distant = append(distant, m)
		}
	}
	if c.relay {
		c.detectSilent(now)
	}
	if len(relays) > 0 {
		slices.MinFunc(relays, byHeard).nextPing = now
	}
	slices.SortFunc(distant, byHeard)
	// Traffic between data centres is expensive, so only some pings go to
	// another one.
	c.round++
	for _, m := range distant {
		if c.isLocal(m) != (c.round%remoteEvery == 0) {
			m.nextPing = now
			return
		}
	}
}

// chooseWatched selects the distant peers that this VM pings in turn.
// Rendezvous hashing makes about the same number of VMs watch each VM. The
// caller holds mu.
func (c *Crew) chooseWatched() {
	if c.watchedFleetSize == len(c.members) {
		return
	}
	c.watchedFleetSize = len(c.members)
	ranked := make(map[siskin.DataCentreID][]*member)
	for _, m := range c.members {
		m.watched = false
		ranked[m.node.DataCentre] = append(ranked[m.node.DataCentre], m)
	}
	key := "watch/" + string(c.cfg.Self.ID)
	for dc, list := range ranked {
		n := watchedRemote
		if dc == c.cfg.Self.DataCentre {
			n = watchedLocal
		}
		slices.SortFunc(list, func(a, b *member) int {
			return cmp.Compare(place.Score(key, b.node.ID), place.Score(key, a.node.ID))
		})
		for _, m := range list[:min(n, len(list))] {
			m.watched = true
		}
	}
}

func byHeard(a, b *member) int { return a.lastHeard.Compare(b.lastHeard) }

func (c *Crew) isLocal(m *member) bool { return m.node.DataCentre == c.cfg.Self.DataCentre }
