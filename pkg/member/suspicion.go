package member

import (
	"time"

	"siskintray.example/siskin"
)

// silent records that a member answered neither this VM nor its helpers. The
// probe began with the given record; a record that is newer by now, such as a
// refutation, makes the probe void.
func (c *core) silent(now time.Time, probed Record) {
	m := c.members[probed.ID]
	if m == nil || !m.up() || m.order(probed) != 0 || now.Before(c.suspended) {
		return
	}
	if m.State == siskin.VMLive {
		r := m.Record
		r.State = siskin.VMSuspect
		c.replace(now, m, r)
	}
	m.silent = true
}

// expire declares suspects dead that did not refute in time. VMs that did not
// find the suspect silent themselves leave the verdict to its observers for a
// longer time. It returns the time of the next verdict, zero if there is none.
func (c *core) expire(now time.Time) (next time.Time) {
	for _, m := range c.members {
		if m.State != siskin.VMSuspect {
			continue
		}
		limit := c.cfg.SuspicionTimeout
		if !m.silent {
			limit *= fallbackFactor
		}
		due := m.since.Add(limit)
		if !now.Before(due) {
			r := m.Record
			r.State = siskin.VMDead
			c.replace(now, m, r)
		} else if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

// suspend stops judgements until the given time, because this VM itself is
// overloaded, and gives suspects as much more time.
func (c *core) suspend(now, until time.Time) {
	extension := until.Sub(now)
	if c.suspended.After(now) {
		extension = until.Sub(c.suspended)
	}
	for _, m := range c.members {
		if m.State == siskin.VMSuspect {
			m.since = m.since.Add(extension)
		}
	}
	c.suspended = until
}

// resume restarts the suspicions after a pause of this VM, during which no
// refutation could arrive, and refutes what others may hold of it.
func (c *core) resume(now time.Time) {
	for _, m := range c.members {
		if m.State == siskin.VMSuspect {
			m.since = now
		}
	}
	c.nextProbe = now
	c.lastPush = time.Time{}
	if c.self.State == siskin.VMLive && !c.superseded {
		c.refute(c.self.Refutations)
	}
}

// forget removes members that are dead or gone for a long time.
func (c *core) forget(now time.Time) {
	for id, m := range c.members {
		if !m.up() && now.Sub(m.since) >= retention {
			delete(c.members, id)
			c.touch(id)
		}
	}
}

// acceptList merges the platform's list. Listed VMs that this VM does not know
// to run are returned, to be contacted.
func (c *core) acceptList(now time.Time, vms []siskin.VM) (unknown []siskin.VM) {
	for _, vm := range vms {
		r := Record{ID: vm.ID, Incarnation: vm.Incarnation, DataCentre: vm.DataCentre, Address: vm.PeerAddress, Forward: vm.ForwardAddress}
		m := c.members[vm.ID]
		switch vm.State {
		case siskin.VMGone:
			r.State = siskin.VMGone
			if r.Incarnation == 0 && m != nil {
				r.Incarnation = m.Incarnation // the platform knows no incarnations
			} else if r.Incarnation == 0 && vm.ID == c.self.ID {
				r.Incarnation = c.self.Incarnation
			}
			c.accept(now, r)
		case siskin.VMLeaving:
			c.markLeaving(now, vm)
		case siskin.VMLive:
			if vm.ID != c.self.ID && vm.PeerAddress != "" && (m == nil || m.State == siskin.VMDead) {
				unknown = append(unknown, vm)
			}
		}
	}
	return unknown
}

// markLeaving marks the listed run of a VM as leaving.
func (c *core) markLeaving(now time.Time, vm siskin.VM) {
	if vm.ID == c.self.ID && (vm.Incarnation == 0 || vm.Incarnation == c.self.Incarnation) {
		c.leave()
		return
	}
	m := c.members[vm.ID]
	if m == nil || !m.up() || m.Leaving || vm.Incarnation != 0 && vm.Incarnation != m.Incarnation {
		return
	}
	r := m.Record
	r.Leaving = true
	c.replace(now, m, r)
}
