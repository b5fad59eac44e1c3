package crew

import "siskintray.example/siskin"

// Near are the VMs that one of a large fleet depends on.
type Near struct {
	// Homes are the homes of primaries. Relays ask them for proofs of lead.
	Homes map[siskin.VMID]bool
	// Followed are the homes whose place this VM may have to take.
	Followed map[siskin.VMID]bool
	// Needed says that others send work to this VM as a home or owner of pools.
	Needed bool
	// Pools are the VMs that hold pools of rates.
	Pools map[siskin.VMID]bool
}
