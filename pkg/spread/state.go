package spread

import (
	"maps"
	"slices"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// state is the configuration of one revision. It is never changed, so that
// readers need no lock; a change makes a copy of the two maps.
type state struct {
	revision  siskin.Revision
	services  map[siskin.ServiceName]*config.Service
	customers map[siskin.CustomerID]*config.Customer
	// names are sorted once, since every reader of a list gets the same.
	serviceNames []siskin.ServiceName
	customerIDs  []siskin.CustomerID
	changed      chan struct{} // closed when a newer state replaces this one
}

func newState(revision siskin.Revision, services map[siskin.ServiceName]*config.Service, customers map[siskin.CustomerID]*config.Customer) *state {
	return &state{
		revision:     revision,
		services:     services,
		customers:    customers,
		serviceNames: slices.Sorted(maps.Keys(services)),
		customerIDs:  slices.Sorted(maps.Keys(customers)),
		changed:      make(chan struct{}),
	}
}

func emptyState() *state {
	return newState(0, map[siskin.ServiceName]*config.Service{}, map[siskin.CustomerID]*config.Customer{})
}

// with returns the state after a change.
func (s *state) with(n Numbered) *state {
	services, customers := maps.Clone(s.services), maps.Clone(s.customers)
	for _, name := range n.Change.DeleteServices {
		delete(services, name)
	}
	for _, id := range n.Change.DeleteCustomers {
		delete(customers, id)
	}
	for _, doc := range n.Change.Services {
		services[doc.Name] = doc
	}
	for _, doc := range n.Change.Customers {
		customers[doc.ID] = doc
	}
	return newState(n.Revision, services, customers)
}

// Revision implements config.View.
func (s *state) Revision() siskin.Revision { return s.revision }

// Service implements config.View.
func (s *state) Service(name siskin.ServiceName) (*config.Service, bool) {
	doc, ok := s.services[name]
	return doc, ok
}

// Customer implements config.View.
func (s *state) Customer(id siskin.CustomerID) (*config.Customer, bool) {
	doc, ok := s.customers[id]
	return doc, ok
}

// Services implements config.View.
func (s *state) Services() []siskin.ServiceName { return s.serviceNames }

// Customers implements config.View.
func (s *state) Customers() []siskin.CustomerID { return s.customerIDs }

// Changed implements config.View.
func (s *state) Changed() <-chan struct{} { return s.changed }
