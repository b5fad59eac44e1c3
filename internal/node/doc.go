// Package node assembles one VM: the listeners, the groups that the VM watches,
// the slots that it owns, and the calls to and from other VMs.
//
// The VM that owns a slot is its home. The homes of a service's slots watch its
// group. The two of highest rank, the watchers, probe the targets all the time
// and push each change to the others, which probe only after a failure.
package node
