// Package member maintains one VM's view of the fleet from heartbeats among the
// VMs and from the platform's list of VMs, which lags behind reality.
//
// All VMs order the fleet by several hash functions; each order is a ring. In
// each interval a VM probes its successor in the next of its rings, so every
// VM is probed by a fixed number of observers, over a fixed number of
// connections, whatever the size of the fleet. When a member does not answer,
// the observer asks 3 others to probe it, then suspects it, and declares it dead
// when it does not refute the suspicion in time.
//
// A member refutes with a refutation count that orders records within one
// incarnation. The incarnation itself changes only with a restart, since for
// other packages a larger one proves that the earlier run has ended.
//
// Probes and their answers carry a bounded number of updates and a hash of the
// view. VMs whose hashes differ exchange their records in pages. Updates are
// pushed to the successors at once, at most once in Config.PushInterval.
//
// The decisions are in the type core, which does no I/O and takes the time as an
// argument.
package member
