package node

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/front"
)

// cancelTimeout bounds the delivery of a cancel request to one VM.
const cancelTimeout = 2 * time.Second

// cancels passes cancel requests to the VM that the process id names.
type cancels struct {
	members siskin.Members
	peers   siskin.Peers
}

// CancelArgs is the argument of Node.Cancel.
type CancelArgs struct {
	ProcessID uint32
	Secret    []byte
}

// Cancel implements front.Canceler. Two VMs can share a hash of 16 bits; only
// the one that knows the secret acts.
func (c *cancels) Cancel(processID uint32, secret []byte) {
	for _, vm := range c.members.Live() {
		if vm.ID == c.members.Self().ID || uint32(front.VMHash(vm.ID)) != processID>>16 {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		var found bool
		// A cancel request gets no answer in the protocol, so a failed delivery
		// cannot be reported either.
		_ = c.peers.Call(ctx, vm.ID, "Node.Cancel", CancelArgs{ProcessID: processID, Secret: secret}, &found)
		cancel()
	}
}
