package spread

import (
	"slices"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// allNames returns the names in order. They are collected again only after a
// document came or went.
func (s *store) allNames() *names {
	if n := s.names.Load(); n != nil {
		return n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := collectNames(func(visit func(*entry)) {
		for i := range s.parts {
			for _, e := range s.all(i) {
				visit(e)
			}
		}
	})
	s.names.Store(n)
	return n
}

func collectNames(each func(func(*entry))) *names {
	n := &names{}
	each(func(e *entry) {
		switch {
		case e.Deleted:
		case e.Kind == ServiceKind:
			n.services = append(n.services, siskin.ServiceName(e.Name))
		default:
			n.customers = append(n.customers, siskin.CustomerID(e.Name))
		}
	})
	slices.Sort(n.services)
	slices.Sort(n.customers)
	return n
}

// overlay is the configuration as it would be after a change.
type overlay struct {
	*store
	rev     siskin.Revision
	changes map[key]*entry
}

var _ config.View = overlay{}

func newOverlay(s *store, rev siskin.Revision, entries []*entry) overlay {
	o := overlay{s, rev, make(map[key]*entry, len(entries))}
	for _, e := range entries {
		o.changes[e.key()] = e
	}
	return o
}

// Revision implements config.View.
func (o overlay) Revision() siskin.Revision { return o.rev }

// Service implements config.View.
func (o overlay) Service(name siskin.ServiceName) (*config.Service, bool) {
	if e, ok := o.changes[key{ServiceKind, string(name)}]; ok {
		return e.service, !e.Deleted
	}
	return o.store.Service(name)
}

// Customer implements config.View.
func (o overlay) Customer(id siskin.CustomerID) (*config.Customer, bool) {
	if e, ok := o.changes[key{CustomerKind, string(id)}]; ok {
		return e.customer, !e.Deleted
	}
	return o.store.Customer(id)
}

// Services implements config.View.
func (o overlay) Services() []siskin.ServiceName { return o.allNames().services }

// Customers implements config.View.
func (o overlay) Customers() []siskin.CustomerID { return o.allNames().customers }

func (o overlay) allNames() *names {
	return collectNames(func(visit func(*entry)) {
		for i := range o.parts {
			for k, e := range o.all(i) {
				if _, ok := o.changes[k]; !ok {
					visit(e)
				}
			}
		}
		for _, e := range o.changes {
			visit(e)
		}
	})
}
