package sysd

import (
	"time"

	"siskintray.example/siskin"
)

const (
	// maxLeadAge is the age of its last proof up to which a primary counts as
	// reachable.
	maxLeadAge = 1500 * time.Millisecond
	// maxRemoteLeadAge is the same for primaries in other data centres while no
	// VM there can be used. This VM then asks such a primary itself, each 0.2 s
	// once a request or probe needs it, and its earlier proofs say nothing about
	// the present.
	maxRemoteLeadAge = 700 * time.Millisecond
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

// maxProofAge returns the age up to which a primary counts as reachable.
func maxProofAge(alone, remote bool) time.Duration {
	if alone && remote {
		return maxRemoteLeadAge
	}
	return maxLeadAge
}

// reachablePrimaries counts the services whose primary was proven lately. alone is
// set while this VM can use no VM of another data centre.
func (n *node) reachablePrimaries(services []siskin.ServiceSpec, alone bool) int {
	count := 0
	for _, s := range services {
		proof := n.views.LatestProof(s.Name)
		t, ok := n.roster.Target(proof.Target)
		remote := ok && t.DataCentre != n.crew.Self().DataCentre
		if n.clock.Since(proof.At) < maxProofAge(alone, remote) {
			count++
		}
	}
	return count
}

// checkIsolation updates the isolation of this VM, logs changes, and closes
// idle sessions if necessary.
func (n *node) checkIsolation() {
	services := n.table.Snapshot().Services
	alone, now := n.crew.Isolated(), n.clock.Now()
	reached := n.reachablePrimaries(services, alone)
	if n.isolation.update(now, alone, reached, len(services)) {
		isolated := !n.isolation.since.IsZero()
		n.isolated.Store(isolated)
		n.log.Warn().Bool("Isolated", isolated).Int("PrimariesReached", reached).Int("Services", len(services)).
			Int("VMs", len(n.crew.Live())).Msg("isolation from other data centres changed")
	}
	if n.isolation.shouldCloseSessions(now) {
		n.entry.EndSessions(n.entry.Sessions()/isolatedCloseGroups + 1)
	}
}
