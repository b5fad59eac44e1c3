// Package crew maintains the membership of the fleet as one VM sees it.
//
// VMs discover each other through objects in the store and through seeds. Each
// VM pings others; a ping and its reply also carry what both sides know about
// primaries, load and the version of the configuration, so that peers keep a VM
// up to date that cannot reach the store. The views of two VMs may differ at any
// time, so they are used for routing only.
package crew
