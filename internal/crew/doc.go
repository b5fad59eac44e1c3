// Package crew keeps a VM's view of the fleet.
//
// VMs find each other through objects in the store and through seeds. Each VM
// pings the others; a ping also carries what both sides know of primaries, load
// and the version of the configuration, so that a VM that cannot reach the store
// is kept up to date by its peers. Views of two VMs may differ at any time, so
// they steer routing only.
package crew
