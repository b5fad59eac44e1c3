package config

import (
	"fmt"
	"net/netip"

	"siskintray.example/siskin"
)

func checkServiceReferences(r *report, next View, s *Service) {
	for i, route := range s.Routes {
		if route.OpenCustomer == "" {
			continue
		}
		if _, ok := next.Customer(route.OpenCustomer); !ok {
			r.add(fmt.Sprintf("Routes/%d/OpenCustomer", i), "add the customer to the change", "customer %s does not exist", quote(route.OpenCustomer))
		}
	}
}

func checkCustomerReferences(r *report, next View, c *Customer) {
	seen := map[siskin.ServiceName]bool{}
	for i, name := range c.Services {
		field := fmt.Sprintf("Services/%d", i)
		if seen[name] {
			r.add(field, "name each service once", "service %s appears twice", quote(name))
		}
		seen[name] = true
		if _, ok := next.Service(name); !ok {
			r.add(field, "add the service to the change or remove the name", "service %s does not exist", quote(name))
		}
	}
}

// checkDeletedReferences reports documents that still refer to a deleted one.
func checkDeletedReferences(r *report, next View, change *Change) {
	deletedServices := toSet(change.DeleteServices)
	deletedCustomers := toSet(change.DeleteCustomers)
	if len(deletedServices) > 0 {
		for _, id := range next.Customers() {
			c, _ := next.Customer(id)
			for _, name := range c.Services {
				if deletedServices[name] {
					r.document = "Customer/" + string(id)
					r.add("Services", "remove the service from the customer in the same change", "deleted service %s is still named", quote(name))
				}
			}
		}
	}
	if len(deletedCustomers) == 0 {
		return
	}
	for _, name := range next.Services() {
		s, _ := next.Service(name)
		for i, route := range s.Routes {
			if deletedCustomers[route.OpenCustomer] {
				r.document = "Service/" + string(name)
				r.add(fmt.Sprintf("Routes/%d/OpenCustomer", i), "name another customer in the same change", "deleted customer %s is still named", quote(route.OpenCustomer))
			}
		}
	}
}

func toSet[K comparable](list []K) map[K]bool {
	m := make(map[K]bool, len(list))
	for _, k := range list {
		m[k] = true
	}
	return m
}

// checkUniqueTargets reports targets that two services use. Claims and terms
// belong to one group, so a shared target would be controlled by two groups.
func checkUniqueTargets(r *report, next View, change *Change) {
	if len(change.Services) == 0 {
		return
	}
	ids := valueUses[siskin.TargetID]{}
	addresses := valueUses[netip.AddrPort]{}
	changed := make(map[siskin.ServiceName]bool, len(change.Services))
	for _, s := range change.Services {
		changed[s.Name] = true
		r.document = "Service/" + string(s.Name)
		for i, t := range s.Targets {
			ids.add(r, t.ID, fmt.Sprintf("Targets/%d/ID", i), "target id "+quote(t.ID))
			if a, ok := parseAddress(t.Address); ok {
				addresses.add(r, a, fmt.Sprintf("Targets/%d/Address", i), "address "+a.String())
			}
		}
	}
	for _, name := range next.Services() {
		if changed[name] {
			continue
		}
		s, _ := next.Service(name)
		for i := range s.Targets {
			t := &s.Targets[i]
			ids.check(r, t.ID, "Service/", string(name))
			if a, ok := parseAddress(t.Address); ok {
				addresses.check(r, a, "Service/", string(name))
			}
		}
	}
}

// checkUniqueKeys reports keys that two customers share. A caller's key must
// identify one customer.
func checkUniqueKeys(r *report, next View, change *Change) {
	if len(change.Customers) == 0 {
		return
	}
	digests := valueUses[string]{}
	changed := make(map[siskin.CustomerID]bool, len(change.Customers))
	for _, c := range change.Customers {
		changed[c.ID] = true
		r.document = "Customer/" + string(c.ID)
		for i, k := range c.Keys {
			if ValidDigest(k.Digest) {
				digests.add(r, k.Digest, fmt.Sprintf("Keys/%d/Digest", i), "key "+quote(k.ID))
			}
		}
	}
	for _, id := range next.Customers() {
		if changed[id] {
			continue
		}
		c, _ := next.Customer(id)
		for i := range c.Keys {
			digests.check(r, c.Keys[i].Digest, "Customer/", string(id))
		}
	}
}
