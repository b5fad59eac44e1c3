package siskin

// VMID names one VM of the fleet, such as "vm-1". It survives a restart.
type VMID string

// Incarnation numbers the runs of one VM. A restarted VM takes a larger one,
// so that state addressed to an earlier run is never applied to a later one.
type Incarnation uint64

// VMState is the state of a VM as one observer sees it.
type VMState int

// States of a VM.
const (
	VMUnknown VMState = iota
	VMLive
	VMSuspect
	VMLeaving
	VMDead
	// VMGone means that the platform terminated the VM. Only this state is
	// evidence that the VM cannot run anymore; VMDead is a guess.
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
	// PeerAddress takes net/rpc calls of other VMs.
	PeerAddress string
	// ForwardAddress takes transactions that other VMs forward, in the
	// PostgreSQL protocol.
	ForwardAddress string
	State          VMState
	// Capacity is the processor of the VM, zero when it is not known.
	Capacity Millicores
}
