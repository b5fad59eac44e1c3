package crew

import (
	"cmp"
	"slices"
	"time"

	"siskintray.example/siskin"
)

// Self implements siskin.Members.
func (c *Crew) Self() siskin.VM { return c.cfg.Self.vm() }

// Node returns the description of this VM.
func (c *Crew) Node() Node { return c.cfg.Self }

// Live implements siskin.Members.
func (c *Crew) Live() []siskin.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.live
}

// Lookup implements siskin.Members.
func (c *Crew) Lookup(id siskin.VMID) (siskin.VM, bool) {
	if id == c.cfg.Self.ID {
		return c.Self(), true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[id]
	if !ok {
		return siskin.VM{}, false
	}
	vm := m.node.vm()
	if !c.alive(m, c.cfg.Clock.Now()) {
		vm.State = siskin.VMSuspect
	}
	return vm, true
}

// UsesRelays reports whether this VM is in a large fleet and leaves reading the
// store to the relays.
func (c *Crew) UsesRelays() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.members) >= fullMeshSize && !c.relay
}

// Isolated reports whether no VM of another data centre can be used although
// there are two or more others. With only one other, it is unknown which side
// is cut off.
func (c *Crew) Isolated() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := make(map[siskin.DataCentreID]bool)
	now := c.cfg.Clock.Now()
	for _, m := range c.members {
		if c.isLocal(m) || m.lastHeard.IsZero() {
			continue
		}
		if c.alive(m, now) {
			return false
		}
		others[m.node.DataCentre] = true
	}
	return len(others) > 1
}

// IsSeed reports whether other VMs use this one as a seed, or it has no seeds
// itself.
func (c *Crew) IsSeed() bool {
	return len(c.cfg.Seeds) == 0 || slices.Contains(c.cfg.Seeds, c.cfg.Self.Address)
}

// Address returns the peer address of a VM.
func (c *Crew) Address(id siskin.VMID) (string, bool) {
	vm, ok := c.Lookup(id)
	return vm.PeerAddress, ok
}

// Changed implements siskin.Members.
func (c *Crew) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Learn adds or updates a VM. Only the newest run of a VM is kept.
func (c *Crew) Learn(n Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learn(n)
}

func (c *Crew) learn(n Node) {
	if n.ID == "" || n.ID == c.cfg.Self.ID || n.Address == "" {
		return
	}
	m := c.members[n.ID]
	switch {
	case m == nil:
		c.members[n.ID] = c.newMember(n)
	case n.Run > m.node.Run:
		c.members[n.ID] = c.newMember(n)
		c.liveOutdated = true // the list may contain the earlier run
		c.updateLive()
	}
}

// newMember returns a member that is pinged at once, or in a large fleet only
// when choosePeers selects it. When each VM pinged every other one, a fleet of
// 295 VMs opened 87,000 connections at its start.
func (c *Crew) newMember(n Node) *member {
	now := c.cfg.Clock.Now()
	m := &member{node: n, knownSince: now, interval: pingInterval}
	if len(c.members) >= fullMeshSize {
		m.interval, m.nextPing = 0, now.Add(unscheduled)
	}
	c.chosenAt = time.Time{} // run choosePeers at the next tick
	return m
}

// Nodes returns all known VMs, including this one.
func (c *Crew) Nodes() []Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes()
}

func (c *Crew) nodes() []Node {
	nodes := []Node{c.cfg.Self}
	for _, m := range c.members {
		nodes = append(nodes, m.node)
	}
	return nodes
}

// Refresh updates the list of live VMs now.
func (c *Crew) Refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLive()
}

// updateLive computes the list of live VMs if it is out of date. The caller
// holds mu.
func (c *Crew) updateLive() {
	now := c.cfg.Clock.Now()
	if !c.liveChanged(now) {
		return
	}
	var live []siskin.VM
	if !c.leaving.Load() {
		self := c.cfg.Self.vm()
		self.Demotion = c.overload.demoter.demotion
		live = append(live, self)
	}
	for _, m := range c.members {
		if c.usable(m, now) {
			live = append(live, c.demotedVM(m))
		}
	}
	slices.SortFunc(live, func(a, b siskin.VM) int { return cmp.Compare(a.ID, b.ID) })
	c.live = live
	for _, m := range c.members {
		m.listed = c.usable(m, now)
	}
	c.selfListed, c.liveOutdated = !c.leaving.Load(), false
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Crew) usable(m *member, now time.Time) bool { return !m.leaving && c.alive(m, now) }

// liveChanged reports whether the list of live VMs is out of date. It is called
// many times a second, and a list of hundreds of VMs is expensive to build.
func (c *Crew) liveChanged(now time.Time) bool {
	if c.liveOutdated || c.selfListed == c.leaving.Load() {
		return true
	}
	for _, m := range c.members {
		if m.listed != c.usable(m, now) {
			return true
		}
	}
	return false
}
