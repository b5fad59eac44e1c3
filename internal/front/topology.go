package front

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// Topology is the entry VM's view of groups and slot owners. It may be out of
// date; the home of a slot checks every transaction again.
type Topology interface {
	// View returns the latest snapshot of a service's group and a channel that
	// is closed at the next change of it.
	View(service siskin.ServiceName) (view siskin.GroupView, changed <-chan struct{}, ok bool)
	// Home returns the VM that owns a slot, and whether it is this VM.
	Home(target config.Target, slot siskin.Slot) (vm siskin.VM, local, ok bool)
	// DataCentre returns the data centre of this VM.
	DataCentre() siskin.DataCentreID
}

// Canceler forwards a cancel request to other VMs.
type Canceler interface {
	// Cancel sends the request to every other VM whose hash is in the upper 16
	// bits of the process id.
	Cancel(processID uint32, secret []byte)
}
