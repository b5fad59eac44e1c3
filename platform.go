package siskin

import "context"

// Platform is the platform's object API and its list of VMs. Every call,
// including a blocked Watch, counts against a budget that the whole fleet
// shares.
type Platform interface {
	// Get returns the object, with Version 0 when it does not exist.
	Get(ctx context.Context, name ObjectName) (Object, error)
	// List returns the objects whose name starts with prefix, ordered by name.
	List(ctx context.Context, prefix ObjectName) ([]Object, error)
	// Put writes value if the object's current version equals ifVersion and
	// returns the new version. A mismatch is an error of kind Conflict. If the
	// response is lost, Put reads the object back and compares op.
	Put(ctx context.Context, name ObjectName, value []byte, ifVersion Version, op OperationID) (Version, error)
	// Watch waits until the object's version is larger than after.
	Watch(ctx context.Context, name ObjectName, after Version) (Object, error)
	// VMs returns the platform's list of VMs, which may be out of date. A VM
	// with state VMGone was terminated; a VM that is not listed is unknown.
	VMs(ctx context.Context) ([]VM, error)
}
