package sysd

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// maxLeadAge is the age of its last proof up to which a primary counts as
	// reachable.
	maxLeadAge = 1500 * time.Millisecond
	// isolatedCloseGroups is the number of groups in which an isolated VM
	// closes its idle sessions.
	isolatedCloseGroups = 4
)

// isolation records since when this VM has been cut off from all other data
// centres and from most primaries. Its callers are then better served by a VM
// in another data centre, so the VM reports that it is not ready and closes
// idle sessions.
type isolation struct {
	since time.Time // zero while the VM is not isolated
}

// update recomputes the isolation from the current state, and reports whether
// it changed.
func (i *isolation) update(now time.Time, alone bool, reached, services int) bool {
	isolated := alone && 2*reached < services
	if isolated == !i.since.IsZero() {
		return false
	}
	i.since = time.Time{}
	if isolated {
		i.since = now
	}
	return true
}

// shouldCloseSessions reports whether idle sessions are to be closed. They are
// closed only after the balancer had time to remove this VM, so that their
// callers do not reconnect to it.
func (i *isolation) shouldCloseSessions(now time.Time) bool {
	return !i.since.IsZero() && now.Sub(i.since) > balancerDelay
}

// reachablePrimaries counts the services whose primary was proven within
// maxLeadAge.
func (n *node) reachablePrimaries(services []siskin.ServiceSpec) int {
	count := 0
	for _, s := range services {
		if n.clock.Since(n.views.LatestProof(s.Name).At) < maxLeadAge {
			count++
		}
	}
	return count
}

// checkIsolation updates the isolation of this VM, logs changes, and closes
// idle sessions if necessary.
func (n *node) checkIsolation() {
	services := n.table.Snapshot().Services
	reached, now := n.reachablePrimaries(services), n.clock.Now()
	if n.isolation.update(now, n.crew.Isolated(), reached, len(services)) {
		isolated := !n.isolation.since.IsZero()
		n.isolated.Store(isolated)
		n.log.Warn().Bool("Isolated", isolated).Int("PrimariesReached", reached).Int("Services", len(services)).
			Int("VMs", len(n.crew.Live())).Msg("isolation from other data centres changed")
	}
	if n.isolation.shouldCloseSessions(now) {
		n.entry.EndSessions(n.entry.Sessions()/isolatedCloseGroups + 1)
	}
}
