// Package node wires one VM: the listeners, the groups that the VM watches, the
// slots that it owns, and its part in the fleet.
package node
