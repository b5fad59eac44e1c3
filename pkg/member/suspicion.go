package member

import (
	"time"

	"siskintray.example/siskin"
)

// noteFailedProbe records that a member answered neither this VM nor its
// helpers. probed is the record at the start of the probe; the result is ignored
// if the record is newer by now, for instance after a refutation.
func (c *core) noteFailedProbe(now time.Time, probed Record) {
	m := c.members[probed.ID]
	if m == nil || !m.up() || m.compare(probed) != 0 || now.Before(c.suspendedUntil) {
		return
	}
	if m.State == siskin.VMLive {
		r := m.Record
		r.State = siskin.VMSuspect
		c.replace(now, m, r)
	}
	m.probeFailed = true
}

// expireSuspicions declares suspects dead that did not refute in time. If this
// VM's own probes of a suspect did not fail, it waits longer, so that the
// observers decide. It returns the time of the next expiry, zero if there is
// none.
func (c *core) expireSuspicions(now time.Time) (next time.Time) {
	for _, m := range c.members {
		if m.State != siskin.VMSuspect {
			continue
		}
		limit := c.cfg.SuspicionTimeout
		if !m.probeFailed {
			limit *= fallbackFactor
		}
		due := m.stateSince.Add(limit)
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

// suspend ignores failed probes until the given time, because this VM itself is
// overloaded, and extends the suspicions by as much.
func (c *core) suspend(now, until time.Time) {
	extension := until.Sub(now)
	if c.suspendedUntil.After(now) {
		extension = until.Sub(c.suspendedUntil)
	}
	for _, m := range c.members {
		if m.State == siskin.VMSuspect {
			m.stateSince = m.stateSince.Add(extension)
		}
	}
	c.suspendedUntil = until
}

// resume restarts the timeouts of suspicions after a pause of this VM, during
// which no refutation could arrive, and refutes suspicions that others may have
// of it.
func (c *core) resume(now time.Time) {
	for _, m := range c.members {
		if m.State == siskin.VMSuspect {
			m.stateSince = now
		}
	}
	c.nextProbe = now
	c.lastPush = time.Time{}
	if c.self.State == siskin.VMLive && !c.superseded {
		c.refute(c.self.Refutations)
	}
}

// forget removes members that have been dead or gone for retention.
func (c *core) forget(now time.Time) {
	for id, m := range c.members {
		if !m.up() && now.Sub(m.stateSince) >= retention {
			delete(c.members, id)
			c.markUnpublished(id)
		}
	}
}

// acceptList merges the platform's list. It returns the live VMs of the list
// that are unknown or dead in this VM's view, to be contacted.
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
