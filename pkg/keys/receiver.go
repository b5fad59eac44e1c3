package keys

import "siskintray.example/siskin"

// ConfirmArgs are the arguments of Receiver.Confirm.
type ConfirmArgs struct {
	Revision siskin.Revision // revision that withdrew the key
	// Customer and Key identify the key. If Key is empty, only the revision is
	// checked.
	Customer siskin.CustomerID
	Key      siskin.KeyID
}

// ConfirmReply is the result of Receiver.Confirm.
type ConfirmReply struct {
	InForce  bool
	Revision siskin.Revision // revision enforced by the responding VM
}

// Receiver has the methods that other VMs call over net/rpc. It is registered
// as "Keys".
type Receiver struct{ k *Keys }

// Receiver returns the RPC receiver of k.
func (k *Keys) Receiver() *Receiver { return &Receiver{k} }

// Confirm reports whether this VM enforces a withdrawal. It does not wait for
// the revision.
func (r *Receiver) Confirm(args *ConfirmArgs, reply *ConfirmReply) error {
	reply.Revision = r.k.Revision()
	reply.InForce = reply.Revision >= args.Revision
	if !reply.InForce || args.Key == "" {
		return nil
	}
	if a, ok := r.k.accounts.Get(args.Customer); ok && !a.removed {
		state, known := a.keys[args.Key]
		reply.InForce = !known || state.withdrawn
	}
	return nil
}
