package member

import (
	"time"

	"siskintray.example/siskin"
)

// plan is what a VM has to do now.
type plan struct {
	probes []siskin.VMID // a member that does not answer becomes a suspect
	pushes []siskin.VMID // sends updates or contacts a member that may refute
	next   time.Time     // when to call step again
}

// step applies the timeouts that have passed and returns what to do now.
func (c *core) step(now time.Time) plan {
	var p plan
	nextExpiry := c.expireSuspicions(now)
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(c.cfg.ProbeInterval)
		p.probes, p.pushes = c.probeTargets(now)
	}
	if !now.Before(c.nextDeadProbe) {
		c.nextDeadProbe = now.Add(c.cfg.DeadProbeInterval)
		if id, ok := c.randomMember(func(m *member) bool { return m.State == siskin.VMDead }); ok {
			p.pushes = append(p.pushes, id)
		}
		c.forget(now)
	}
	if c.pushDue && now.Sub(c.lastPush) >= c.cfg.PushInterval {
		c.pushDue, c.lastPush = false, now
		p.pushes = append(p.pushes, c.successors()...)
	}
	p.next = c.nextProbe
	if due := c.lastPush.Add(c.cfg.PushInterval); c.pushDue && due.Before(p.next) {
		p.next = due
	}
	if !nextExpiry.IsZero() && nextExpiry.Before(p.next) {
		p.next = nextExpiry
	}
	return p
}

// probeTargets returns as probes the successor in the next ring and unconfirmed
// members, and as pushes members that may refute: a suspect that did not answer
// this VM or that its observers should have declared dead by now, and a disputed
// member. Without these pushes, this VM would declare a running member dead if
// its refutation was lost on the way.
func (c *core) probeTargets(now time.Time) (probes, pushes []siskin.VMID) {
	c.ring = (c.ring + 1) % ringCount
	if id, ok := c.rings.successor(c.ring, c.suspected); ok {
		probes = append(probes, id)
	}
	for _, id := range c.takeUnconfirmed(now) {
		if c.members[id] != nil {
			probes = append(probes, id)
		}
	}
	overdue := now.Add(-overdueFactor * c.cfg.SuspicionTimeout)
	if id, ok := c.randomMember(func(m *member) bool {
		return m.State == siskin.VMSuspect && (m.probeFailed || m.stateSince.Before(overdue))
	}); ok {
		pushes = append(pushes, id)
	}
	if len(c.disputed) > 0 {
		pushes = append(pushes, c.disputed[0])
		c.disputed = c.disputed[1:]
	}
	return probes, pushes
}

func (c *core) suspected(id siskin.VMID) bool {
	return c.members[id].State == siskin.VMSuspect
}

// successors returns the distinct successors in all rings.
func (c *core) successors() []siskin.VMID {
	var ids []siskin.VMID
	skip := func(id siskin.VMID) bool {
		for _, other := range ids {
			if other == id {
				return true
			}
		}
		return c.suspected(id)
	}
	for k := range ringCount {
		if id, ok := c.rings.successor(k, skip); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// randomMember returns a random member for which fits returns true.
func (c *core) randomMember(fits func(*member) bool) (chosen siskin.VMID, ok bool) {
	n := 0
	for id, m := range c.members {
		if !fits(m) {
			continue
		}
		if n++; c.rng.IntN(n) == 0 {
			chosen = id
		}
	}
	return chosen, n > 0
}

// helpers returns random running members that can probe target.
func (c *core) helpers(target siskin.VMID) []siskin.VMID {
	var ids []siskin.VMID
	for range helperCount {
		id, ok := c.randomMember(func(m *member) bool {
			for _, taken := range ids {
				if taken == m.ID {
					return false
				}
			}
			return m.State == siskin.VMLive && m.ID != target
		})
		if ok {
			ids = append(ids, id)
		}
	}
	return ids
}
