package admin

import (
	"context"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/burn"
	"siskintray.example/siskin/pkg/config"
)

// Backend is what the server needs of its VM. The node that wires a VM
// implements the interfaces; each is small, so that tests fake one at a time.
type Backend struct {
	Status StatusSource
	Config Configurator
	Keys   KeyStore
	Groups GroupControl
	Fleet  Fleet
	Burn   BurnSource
}

// StatusSource describes the VM that answers.
type StatusSource interface {
	Status(ctx context.Context) (Status, error)
}

// Configurator holds the configuration in force and accepts changes.
type Configurator interface {
	// View returns the configuration in force at this VM.
	View() config.View
	// Apply validates the change against the newest configuration and makes it
	// current with one conditional update. It fails as a whole: with kind
	// BadInput for findings, Conflict when another change won, and Unavailable
	// when the platform cannot be reached.
	Apply(ctx context.Context, change *config.Change) (siskin.Revision, error)
	// Revisions returns the revision in force at each VM that is known, with
	// Confirmed false for VMs that could not be asked.
	Revisions(ctx context.Context) ([]VMRevision, error)
}

// KeyStore grants and withdraws keys.
type KeyStore interface {
	// Grant adds a key to the customer. The digest stands for the key, which
	// does not leave the operator's machine.
	Grant(ctx context.Context, customer siskin.CustomerID, key config.Key) (KeyOutcome, error)
	// Withdraw ends a key for good. It returns after all data centres confirmed
	// or the context ended; the outcome lists those that did not.
	Withdraw(ctx context.Context, customer siskin.CustomerID, key siskin.KeyID) (KeyOutcome, error)
}

// GroupControl shows groups and orders planned changes of a primary.
type GroupControl interface {
	// Local returns the group of a service if this VM watches it.
	Local(service siskin.ServiceName) (siskin.GroupView, bool)
	// View returns the group of a service, asking a home if this VM is none. It
	// ends with the context.
	View(ctx context.Context, service siskin.ServiceName) (siskin.GroupView, error)
	// Promote makes the target the primary. With force it does so with too few
	// reachable targets, which can lose acknowledged writes.
	Promote(ctx context.Context, service siskin.ServiceName, target siskin.TargetID, force bool) error
}

// Fleet shows the members and stops them as planned.
type Fleet interface {
	VMs(ctx context.Context) ([]siskin.VM, error)
	// Leave starts the planned stop of a VM and returns when it is announced.
	Leave(ctx context.Context, vm siskin.VMID) error
}

// BurnSource returns the counts of this VM or, with fleet, of all VMs that can
// be asked.
type BurnSource interface {
	Record(ctx context.Context, fleet bool) (burn.Record, error)
	Objectives(service siskin.ServiceName) burn.Objectives
}

// Status describes one VM.
type Status struct {
	VM          siskin.VMID
	Incarnation siskin.Incarnation
	DataCentre  siskin.DataCentreID
	State       string
	Version     string
	Started     time.Time
	Revision    siskin.Revision
	// Callers is the number of open caller connections, Running of transactions
	// and Homes of slots that the VM owns.
	Callers, Running, Homes int
	// PlatformReachable says that the last call to the platform succeeded.
	PlatformReachable bool
	LiveVMs           int
}

// VMRevision is the revision in force at one VM.
type VMRevision struct {
	VM         siskin.VMID
	DataCentre siskin.DataCentreID
	Revision   siskin.Revision
	Confirmed  bool
}

// KeyOutcome says where a change of a key is in force.
type KeyOutcome struct {
	Revision siskin.Revision
	// InForce are the data centres whose VMs all confirmed, NotConfirmed the
	// others. There KeyGrace bounds how long a withdrawn key goes on working.
	InForce, NotConfirmed []siskin.DataCentreID
}
