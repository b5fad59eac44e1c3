package node

// nodeReceiver serves Node calls of other VMs over net/rpc.
type nodeReceiver struct{ node *Node }

// Cancel cancels the statement of a session of this VM. Found says whether
// process id and secret matched one.
func (r *nodeReceiver) Cancel(args CancelArgs, found *bool) error {
	*found = r.node.front.Cancel(args.ProcessID, args.Secret)
	return nil
}

// Status reports the state of this VM.
func (r *nodeReceiver) Status(_ struct{}, status *Status) error {
	*status = r.node.Status()
	return nil
}
