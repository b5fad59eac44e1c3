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

// untilTurn is longer than any time until choose picks a distant peer.
const untilTurn = time.Hour

func (c *Crew) loop() {
	var lookedAt time.Time // last time that this VM looked whom it depends on
	for {
		select {
		case <-c.stop:
			return
		case <-c.cfg.Clock.After(tick):
		}
		if now := c.cfg.Clock.Now(); now.Sub(lookedAt) >= pingInterval {
			lookedAt = now
			c.rates.LendToSelf()
			near := c.cfg.PriorityPeers()
			c.mu.Lock()
			c.near = near
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
	if now.Sub(c.chosen) >= pingInterval {
		c.chosen = now
		c.choose(now)
	}
	for id, m := range c.members {
		if m.pinging || now.Before(m.next) {
			continue
		}
		m.pinging, m.next = true, now.Add(m.untilNext(now))
		c.done.Go(func() { c.ping(id) })
	}
	c.publish()
	if len(c.live) < 2 && now.Sub(c.seeded) > pingInterval {
		c.seeded = now
		for _, address := range c.cfg.Seeds {
			if address != c.cfg.Self.Address {
				c.done.Go(func() { c.ping(siskin.AddressID(address)) })
			}
		}
	}
}

// choose decides how often each peer is pinged, and picks the relay and the
// distant peer of a large fleet whose turn it is. The caller holds mu.
func (c *Crew) choose(now time.Time) {
	large := len(c.members) >= fullMesh
	c.relay = large && c.isRelay(c.cfg.Self.ID, c.cfg.Self.DataCentre)
	if large {
		c.chooseWatched()
	}
	var distant, relays []*member
	for _, m := range c.members {
		before := m.every
		if m.every = pingInterval; large {
			m.every = c.pingEvery(m)
		}
		if m.every != 0 && m.every != before {
			m.next = now
		}
		switch {
		case m.every != 0 || m.pinging:
		case !c.relay && c.local(m) && c.isRelay(m.node.ID, m.node.DataCentre):
			relays = append(relays, m)
		case m.watched:
			distant = append(distant, m)
		}
	}
	if c.relay {
		c.findSilent(now)
	}
	if len(relays) > 0 {
		slices.MinFunc(relays, byHeard).next = now
	}
	slices.SortFunc(distant, byHeard)
	// Traffic between data centres is dear, so only some pings cross.
	c.round++
	for _, m := range distant {
		if c.local(m) != (c.round%farEvery == 0) {
			m.next = now
			return
		}
	}
}

// chooseWatched picks the distant peers that this VM pings in turn, by rendezvous
// rank, so that each VM is watched by about as many others. The caller holds mu.
func (c *Crew) chooseWatched() {
	if c.watchedOf == len(c.members) {
		return
	}
	c.watchedOf = len(c.members)
	ranked := make(map[siskin.DataCentreID][]*member)
	for _, m := range c.members {
		m.watched = false
		ranked[m.node.DataCentre] = append(ranked[m.node.DataCentre], m)
	}
	key := "watch/" + string(c.cfg.Self.ID)
	for dc, list := range ranked {
		n := watchedFar
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

func byHeard(a, b *member) int { return a.heard.Compare(b.heard) }

func (c *Crew) local(m *member) bool { return m.node.DataCentre == c.cfg.Self.DataCentre }
