package crew

import "siskintray.example/siskin"

// OverloadNotice announces the demotion of a VM. VMs pass on the notices of
// others, so that they reach all VMs of a large fleet.
type OverloadNotice struct {
	VM  siskin.VMID
	Run siskin.Incarnation
	// Number increases with each notice of a run of the VM.
	Number   uint64
	Demotion siskin.Demotion `json:",omitempty"`
}

// newerThan reports whether a notice replaces an earlier one of the same VM.
func (n *OverloadNotice) newerThan(o *OverloadNotice) bool {
	return n.Run > o.Run || n.Run == o.Run && n.Number > o.Number
}
