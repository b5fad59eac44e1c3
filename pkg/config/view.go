package config

import "siskintray.example/siskin"

// View is the current configuration as known to one VM. Documents are shared and
// must not be modified.
type View interface {
	// Revision returns the current revision.
	Revision() siskin.Revision
	Service(name siskin.ServiceName) (*Service, bool)
	Customer(id siskin.CustomerID) (*Customer, bool)
	// Services and Customers return all names in ascending order.
	Services() []siskin.ServiceName
	Customers() []siskin.CustomerID
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
