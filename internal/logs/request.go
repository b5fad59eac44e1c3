package logs

import (
	"fmt"

	"siskintray.example/siskin"
)

// Request says which request a line is about. Empty fields are left out.
type Request struct {
	// ID is the id that the entry VM gave to the request; it is the same on all
	// VMs. Zero means that the request failed before it had one.
	ID       uint64
	Service  siskin.ServiceName
	Route    siskin.RouteName
	Customer siskin.CustomerID
	Target   siskin.TargetID
	Home     siskin.VMID
}

// RequestID returns the text of a request's id in the field RequestField.
func RequestID(id uint64) string { return fmt.Sprintf("%016x", id) }
