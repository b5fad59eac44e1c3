package siskin

// VMID identifies one VM of the fleet, such as "vm-1". It stays the same after
// a restart.
type VMID string

// Incarnation is the number of a run of one VM. It increases with every
// restart, so that state addressed to an earlier run is never applied to a
// later one.
type Incarnation uint64

// VMState is the state of a VM in the view of one observer.
type VMState int

// States of a VM.
const (
	VMUnknown VMState = iota
	VMLive
	VMSuspect
	VMLeaving
	VMDead
	// VMGone means that the platform terminated the VM. Only this state proves
	// that the VM no longer runs; VMDead is an assumption.
	VMGone
)

// String returns the state's name as it appears in JSON and logs.
func (s VMState) String() string {
	names := [...]string{"Unknown", "Live", "Suspect", "Leaving", "Dead", "Gone"}
	if s < 0 || int(s) >= len(names) {
		return "Unknown"
	}
	return names[s]
}

// VM describes one member of the fleet.
type VM struct {
	ID          VMID
	Incarnation Incarnation
	DataCentre  DataCentreID
	// PeerAddress accepts net/rpc calls of other VMs.
	PeerAddress string
	// ForwardAddress accepts transactions that other VMs forward, in the
	// PostgreSQL protocol.
	ForwardAddress string
	State          VMState
	// Capacity is the processor capacity of the VM; zero when unknown.
	Capacity Millicores
	// Demotion is the part of its resources for which an overloaded VM is
	// ranked behind others of its data centre.
	Demotion Demotion
}
