package config

import (
	"fmt"
	"slices"

	"siskintray.example/siskin"
)

// Generate creates one change from answers. Customers that occur in several
// answers or in the view are merged. The change is validated as a whole; if there
// are findings, the returned change is nil. The view may be nil.
func Generate(view View, answers ...Answers) (*Change, Findings) {
	if view == nil {
		view = NewSnapshot(0, nil, nil)
	}
	r := &report{}
	change := &Change{Base: view.Revision()}
	merged := map[siskin.CustomerID]*Customer{}
	for i := range answers {
		a := &answers[i]
		service := generateService(view, a)
		change.Services = append(change.Services, service)
		for j := range a.Customers {
			c := &a.Customers[j]
			r.document = "Customer/" + string(c.ID)
			old, ok := merged[c.ID]
			if !ok {
				old = initialCustomer(view, c)
				merged[c.ID] = old
				change.Customers = append(change.Customers, old)
			}
			mergeCustomer(r, old, c, service.Name)
		}
	}
	if found := append(r.found, Validate(view, change)...); len(found) > 0 {
		return nil, found
	}
	return change, nil
}

// generateService returns the service of the answers with target ids filled in.
// The questionnaire does not ask for objectives, so the current ones are kept.
func generateService(view View, a *Answers) *Service {
	s := a.Service
	if old, ok := view.Service(s.Name); ok && s.Objectives == nil {
		s.Objectives = old.Objectives
	}
	s.Targets = slices.Clone(s.Targets)
	for i := range s.Targets {
		if s.Targets[i].ID == "" {
			s.Targets[i].ID = siskin.TargetID(fmt.Sprintf("%s/%d", s.Name, i+1))
		}
	}
	return &s
}

// initialCustomer returns a copy of the current customer, or a new one with the
// rate, burst and weight of the answers.
func initialCustomer(view View, answered *Customer) *Customer {
	c := &Customer{ID: answered.ID, Rate: answered.Rate, Burst: answered.Burst, Weight: answered.Weight}
	if old, ok := view.Customer(answered.ID); ok {
		*c = *old
		c.Services = slices.Clone(old.Services)
		c.Keys = slices.Clone(old.Keys)
	}
	return c
}

// mergeCustomer adds a service and keys to c. A customer has one rate, burst and
// weight for all services, so answers that differ are reported.
func mergeCustomer(r *report, c, answered *Customer, service siskin.ServiceName) {
	const remedy = "give the value that is already set, or change the customer's document by itself"
	if c.Rate != answered.Rate {
		r.add("Rate", remedy, "rate %v contradicts %v", answered.Rate, c.Rate)
	}
	if c.Burst != answered.Burst {
		r.add("Burst", remedy, "burst %v contradicts %v", answered.Burst, c.Burst)
	}
	if c.Weight != answered.Weight {
		r.add("Weight", remedy, "weight %d contradicts %d", answered.Weight, c.Weight)
	}
	if !slices.Contains(c.Services, service) {
		c.Services = append(c.Services, service)
	}
	for _, k := range answered.Keys {
		i := slices.IndexFunc(c.Keys, func(old Key) bool { return old.ID == k.ID })
		if i < 0 {
			c.Keys = append(c.Keys, k)
		} else if c.Keys[i].Digest != k.Digest {
			r.add("Keys", "choose another id for the new key", "key %s contradicts the digest that is already set", quote(k.ID))
		}
	}
}
