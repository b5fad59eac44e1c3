package node

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/front"
	"siskintray.example/siskin/pkg/invar"
)

// Status is the state of one VM.
type Status struct {
	VM       siskin.VM
	Uptime   time.Duration
	Revision siskin.Revision
	Front    front.Stats
	// Slots is the number of slots that the VM owns.
	Slots int
	// Violations counts broken invariants by name.
	Violations map[string]int64
}

// Status returns the present state.
func (n *Node) Status() Status {
	return Status{
		VM:         n.cfg.Members.Self(),
		Uptime:     n.cfg.Clock.Since(n.started),
		Revision:   n.cfg.Config.Revision(),
		Front:      n.front.Stats(),
		Slots:      len(n.pool.Owned()),
		Violations: invar.Violations(),
	}
}
