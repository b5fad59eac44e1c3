package sysd

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
)

// listState judges the list of targets. It is current also while the store is
// down and this VM is in contact with all others, since none of them knows a
// newer one.
func (n *node) listState() siskin.ListState {
	s := n.roster.ListState(n.clock.Now())
	if s != siskin.ListCurrent && n.crew.HasLatestTargets() {
		return siskin.ListCurrent
	}
	return s
}

const (
	// spreadDelay is the time after which every VM whose list is current knows a
	// listed target.
	spreadDelay = 3 * time.Second
	// settleDelay is the time after which every change of primary counts a target
	// that has joined: a promotion that was ordered without it has also taken
	// effect.
	settleDelay = spreadDelay + lease.MinTrustedUptime
)

// settled reports whether every VM that may order a change of primary knows a
// target. Those in the first list of this VM are taken to have joined long ago.
func (n *node) settled(id siskin.TargetID) bool {
	since, _, first, ok := n.roster.ListedSince(id)
	delay := settleDelay
	if first {
		delay = spreadDelay
	}
	return ok && n.clock.Since(since) >= delay
}
