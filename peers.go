package siskin

import "context"

// AddressID returns an id with which Peers calls the VM at the given address,
// such as a seed VM whose own id is not known yet.
func AddressID(address string) VMID { return VMID("@" + address) }

// Peers calls methods of other VMs over net/rpc.
type Peers interface {
	// Call invokes method, such as "Limit.Ask", on the given VM. The context
	// must have a deadline.
	Call(ctx context.Context, vm VMID, method string, args, reply any) error
}
