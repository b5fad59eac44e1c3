package spread

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

var _ config.View = (*Spread)(nil)

// Revision implements config.View.
func (s *Spread) Revision() siskin.Revision { return s.store.state.Load().revision }

// Service implements config.View.
func (s *Spread) Service(name siskin.ServiceName) (*config.Service, bool) {
	return s.store.state.Load().Service(name)
}

// Customer implements config.View.
func (s *Spread) Customer(id siskin.CustomerID) (*config.Customer, bool) {
	return s.store.state.Load().Customer(id)
}

// Services implements config.View.
func (s *Spread) Services() []siskin.ServiceName { return s.store.state.Load().serviceNames }

// Customers implements config.View.
func (s *Spread) Customers() []siskin.CustomerID { return s.store.state.Load().customerIDs }

// Changed implements config.View.
func (s *Spread) Changed() <-chan struct{} { return s.store.state.Load().changed }

// Snapshot returns the configuration in force as a view that never changes.
func (s *Spread) Snapshot() config.View { return s.store.state.Load() }
