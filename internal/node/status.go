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
	// Faults counts the sessions, and the connections of other VMs, that ended
	// by a fault of the program.
	Faults int64
	// Slots is the number of slots that the VM owns.
	Slots int
	// Violations counts broken invariants by name.
	Violations map[string]int64
}

// Status returns the current state.
func (n *Node) Status() Status {
	st := n.front.Stats()
	return Status{
		VM:         n.cfg.Members.Self(),
		Uptime:     n.cfg.Clock.Since(n.started),
		Revision:   n.cfg.Config.Revision(),
		Front:      st,
		Faults:     st.Panics + n.server.Panics(),
		Slots:      len(n.pool.Owned()),
		Violations: invar.Violations(),
	}
}
