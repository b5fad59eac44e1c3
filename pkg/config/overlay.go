package config

import (
	"slices"

	"siskintray.example/siskin"
)

// Overlay is the View that results from applying a change to a base view. It
// shares all documents that the change does not modify with the base view.
type Overlay struct {
	base      View
	services  map[siskin.ServiceName]*Service // nil value: deleted
	customers map[siskin.CustomerID]*Customer // nil value: deleted
}

// NewOverlay returns the view that results from applying change to base.
func NewOverlay(base View, change *Change) *Overlay {
	o := &Overlay{
		base:      base,
		services:  make(map[siskin.ServiceName]*Service),
		customers: make(map[siskin.CustomerID]*Customer),
	}
	for _, name := range change.DeleteServices {
		o.services[name] = nil
	}
	for _, id := range change.DeleteCustomers {
		o.customers[id] = nil
	}
	for _, s := range change.Services {
		o.services[s.Name] = s
	}
	for _, c := range change.Customers {
		o.customers[c.ID] = c
	}
	return o
}

// Revision implements View. It returns the revision of the base view.
func (o *Overlay) Revision() siskin.Revision { return o.base.Revision() }

// Service implements View.
func (o *Overlay) Service(name siskin.ServiceName) (*Service, bool) {
	if s, ok := o.services[name]; ok {
		return s, s != nil
	}
	return o.base.Service(name)
}

// Customer implements View.
func (o *Overlay) Customer(id siskin.CustomerID) (*Customer, bool) {
	if c, ok := o.customers[id]; ok {
		return c, c != nil
	}
	return o.base.Customer(id)
}

// Services implements View.
func (o *Overlay) Services() []siskin.ServiceName {
	return overlayKeys(o.base.Services(), o.services)
}

// Customers implements View.
func (o *Overlay) Customers() []siskin.CustomerID {
	return overlayKeys(o.base.Customers(), o.customers)
}

// Changed implements View.
func (o *Overlay) Changed() <-chan struct{} { return o.base.Changed() }

func overlayKeys[K ~string, V any](base []K, over map[K]*V) []K {
	names := make([]K, 0, len(base)+len(over))
	for _, name := range base {
		if _, ok := over[name]; !ok {
			names = append(names, name)
		}
	}
	for name, doc := range over {
		if doc != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
