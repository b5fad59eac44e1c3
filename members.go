package siskin

// Members is one VM's view of the fleet. The views of two VMs may differ at any
// time, so a view is used for routing and placement only.
type Members interface {
	// Self returns this VM.
	Self() VM
	// Live returns the VMs that accept work, this one included, ordered by id.
	// The caller must not modify the slice.
	Live() []VM
	// Lookup returns the VM with the given id, whatever its state.
	Lookup(id VMID) (VM, bool)
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
}
