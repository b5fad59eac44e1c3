package config

import (
	"slices"

	"siskintray.example/siskin"
)

// StaticView is a View that never changes.
type StaticView struct {
	services  map[siskin.ServiceName]*Service
	customers map[siskin.CustomerID]*Customer
	changed   chan struct{}
}

// NewStaticView returns a view of the given documents.
func NewStaticView(services []*Service, customers []*Customer) *StaticView {
	f := &StaticView{
		services:  make(map[siskin.ServiceName]*Service, len(services)),
		customers: make(map[siskin.CustomerID]*Customer, len(customers)),
		changed:   make(chan struct{}),
	}
	for _, s := range services {
		f.services[s.Name] = s
	}
	for _, c := range customers {
		f.customers[c.ID] = c
	}
	return f
}

// Revision implements View.
func (f *StaticView) Revision() siskin.Revision { return 1 }

// Service implements View.
func (f *StaticView) Service(name siskin.ServiceName) (*Service, bool) {
	s, ok := f.services[name]
	return s, ok
}

// Customer implements View.
func (f *StaticView) Customer(id siskin.CustomerID) (*Customer, bool) {
	c, ok := f.customers[id]
	return c, ok
}

// Services implements View.
func (f *StaticView) Services() []siskin.ServiceName { return sortedKeys(f.services) }

// Customers implements View.
func (f *StaticView) Customers() []siskin.CustomerID { return sortedKeys(f.customers) }

// Changed implements View.
func (f *StaticView) Changed() <-chan struct{} { return f.changed }

func sortedKeys[K ~string, V any](m map[K]V) []K {
	names := make([]K, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
