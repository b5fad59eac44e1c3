package node

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/front"
)

// cancelTimeout bounds the delivery of a cancel request to one VM.
const cancelTimeout = 2 * time.Second

// cancels forwards cancel requests to the VM that the process id names.
type cancels struct {
	members siskin.Members
	peers   siskin.Peers
}

// CancelArgs is the argument of Node.Cancel.
type CancelArgs struct {
	ProcessID uint32
	Secret    []byte
}

// Cancel implements front.Canceler. The 16-bit hashes of two VMs can collide;
// only the VM that knows the secret cancels a statement.
func (c *cancels) Cancel(processID uint32, secret []byte) {
	for _, vm := range c.members.Live() {
		if vm.ID == c.members.Self().ID || uint32(front.VMHash(vm.ID)) != processID>>16 {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		var found bool
		// The protocol has no response to a cancel request, so a failed delivery
		// cannot be reported.
		_ = c.peers.Call(ctx, vm.ID, "Node.Cancel", CancelArgs{ProcessID: processID, Secret: secret}, &found)
		cancel()
	}
}
