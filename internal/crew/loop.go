package crew

import (
	"slices"
	"time"

	"siskintray.example/siskin"
)

// tick is the resolution of the ping schedule.
const tick = 50 * time.Millisecond

// untilTurn is longer than any time until choose picks a distant peer.
const untilTurn = time.Hour

func (c *Crew) loop() {
	for {
		select {
		case <-c.stop:
			return
		case <-c.cfg.Clock.After(tick):
		}
		c.rates.LendSelf()
		near := c.cfg.Near()
		c.mu.Lock()
		c.near = near
		c.mu.Unlock()
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
		m.pinging, m.next = true, now.Add(m.interval(now))
		if m.distant && !m.failed && !m.suspect {
			m.next = now.Add(untilTurn)
		}
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

// choose sorts the peers of a large fleet into close and distant ones, and picks
// the distant ones whose turn it is. The caller holds mu.
func (c *Crew) choose(now time.Time) {
	var near map[siskin.VMID]bool
	if len(c.members) >= fullMesh {
		near = c.near
	}
	var distant []*member
	for id, m := range c.members {
		was := m.distant
		m.distant = near != nil && !near[id] && !m.heard.IsZero()
		if was && !m.distant {
			m.next = now
		}
		if m.distant && !m.pinging {
			distant = append(distant, m)
		}
	}
	slices.SortFunc(distant, func(a, b *member) int { return a.heard.Compare(b.heard) })
	// Traffic between data centres is dear, so only some pings cross.
	c.round++
	for _, m := range distant {
		local := m.node.DataCentre == c.cfg.Self.DataCentre
		if local != (c.round%farEvery == 0) {
			m.next = now
			return
		}
	}
}
