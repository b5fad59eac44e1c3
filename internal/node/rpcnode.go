package node

// nodeReceiver serves Node calls of other VMs over net/rpc.
type nodeReceiver struct{ node *Node }

// Cancel cancels the statement of a session of this VM. It sets found to whether
// the process id and secret matched a session.
func (r *nodeReceiver) Cancel(args CancelArgs, found *bool) error {
	*found = r.node.front.Cancel(args.ProcessID, args.Secret)
	return nil
}

// Status returns the state of this VM.
func (r *nodeReceiver) Status(_ struct{}, status *Status) error {
	*status = r.node.Status()
	return nil
}
