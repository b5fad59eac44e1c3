package keys

import "siskintray.example/siskin"

// ConfirmArgs asks whether a withdrawal is in force.
type ConfirmArgs struct {
	Revision siskin.Revision // revision that withdrew the key
	// Customer and Key name the key; when empty only the revision counts.
	Customer siskin.CustomerID
	Key      siskin.KeyID
}

// ConfirmReply answers ConfirmArgs.
type ConfirmReply struct {
	InForce  bool
	Revision siskin.Revision // revision enforced at the answering VM
}

// Receiver has the methods that other VMs call over net/rpc. Register it under
// the name "Keys".
type Receiver struct{ k *Keys }

// Receiver returns the receiver of these keys.
func (k *Keys) Receiver() *Receiver { return &Receiver{k} }

// Confirm answers whether a withdrawal is in force here. It does not wait.
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
