package siskin

import "context"

// Peers calls methods of other VMs over net/rpc.
type Peers interface {
	// Call invokes method, such as "Limit.Ask", on the given VM. The context
	// must have a deadline.
	Call(ctx context.Context, vm VMID, method string, args, reply any) error
}
