package crew

import "siskintray.example/siskin"

// PriorityPeers are the VMs that a VM of a large fleet depends on.
type PriorityPeers struct {
	// Homes are the homes of primaries. Relays request primary proofs from
	// them.
	Homes map[siskin.VMID]bool
	// StandbyFor are the homes that this VM may have to replace.
	StandbyFor map[siskin.VMID]bool
	// ServesOthers is set when other VMs send work to this VM because it is a
	// home or owns token pools.
	ServesOthers bool
	// PoolOwners are the VMs that own token pools of customers, see package
	// quota.
	PoolOwners map[siskin.VMID]bool
}
