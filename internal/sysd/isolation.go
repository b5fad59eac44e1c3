package sysd

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// maxLeadAge is the age up to which a primary counts as within reach.
	maxLeadAge = 1500 * time.Millisecond
	// isolatedCloseGroups is the number of steps in which an isolated VM closes
	// its idle sessions.
	isolatedCloseGroups = 4
)

// isolation says since when this VM has been cut off from all other data
// centres and from most primaries. The balancer then does better to send callers
// to another data centre, and idle sessions do better to be opened again there.
type isolation struct {
	since time.Time // zero while the VM is not isolated
}

// update takes over what is known at a time, and reports whether it changed.
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

// shouldCloseSessions reports whether idle sessions are to be closed: the balancer had the
// time to take this VM out, so their callers do not come back to it.
func (i *isolation) shouldCloseSessions(now time.Time) bool {
	return !i.since.IsZero() && now.Sub(i.since) > balancerDelay
}

// reachablePrimaries counts the services whose primary proved its lead a moment ago.
func (n *node) reachablePrimaries(services []siskin.ServiceSpec) int {
	count := 0
	for _, s := range services {
		if n.clock.Since(n.views.LatestProof(s.Name).At) < maxLeadAge {
			count++
		}
	}
	return count
}

// checkIsolation updates the isolation of this VM and acts on it.
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
