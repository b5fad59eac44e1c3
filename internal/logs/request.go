package logs

import (
	"fmt"

	"siskintray.example/siskin"
)

// Request identifies the request that a line is about. Empty fields are omitted.
type Request struct {
	// ID is assigned by the entry VM and is the same on all VMs. Zero means that
	// the request failed before an id was assigned.
	ID       uint64
	Service  siskin.ServiceName
	Route    siskin.RouteName
	Customer siskin.CustomerID
	Target   siskin.TargetID
	Home     siskin.VMID
}

// RequestID formats a request id for the field RequestIDField.
func RequestID(id uint64) string { return fmt.Sprintf("%016x", id) }
