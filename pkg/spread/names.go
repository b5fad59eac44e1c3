package spread

import (
	"slices"

	"siskintray.example/siskin"
)

// allNames returns the names in order. They are collected again only after a
// document came or went.
func (s *store) allNames() *names {
	if n := s.names.Load(); n != nil {
		return n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts [shardCount]map[key]*entry
	for i := range parts {
		parts[i] = s.all(i)
	}
	n := collectNames(&parts)
	s.names.Store(n)
	return n
}

func collectNames(parts *[shardCount]map[key]*entry) *names {
	n := &names{}
	for _, part := range parts {
		for _, e := range part {
			switch {
			case e.Deleted:
			case e.Kind == ServiceKind:
				n.services = append(n.services, siskin.ServiceName(e.Name))
			default:
				n.customers = append(n.customers, siskin.CustomerID(e.Name))
			}
		}
	}
	slices.Sort(n.services)
	slices.Sort(n.customers)
	return n
}
