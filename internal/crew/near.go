package crew

import "siskintray.example/siskin"

// PriorityPeers are the VMs that one of a large fleet depends on.
type PriorityPeers struct {
	// Homes are the homes of primaries. Relays ask them for proofs of lead.
	Homes map[siskin.VMID]bool
	// StandbyFor are the homes whose place this VM may have to take.
	StandbyFor map[siskin.VMID]bool
	// ServesOthers says that others send work to this VM as a home or owner of pools.
	ServesOthers bool
	// PoolOwners are the VMs that hold pools of rates.
	PoolOwners map[siskin.VMID]bool
}
