package spread

import (
	"slices"

	"siskintray.example/siskin"
)

// sortedNames returns the names in ascending order. They are cached until a
// document is added or deleted.
func (s *store) sortedNames() *names {
	if n := s.names.Load(); n != nil {
		return n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var shards [shardCount]map[key]*entry
	for i := range shards {
		shards[i] = s.shardEntries(i)
	}
	n := collectNames(&shards)
	s.names.Store(n)
	return n
}

func collectNames(shards *[shardCount]map[key]*entry) *names {
	n := &names{}
	for _, shard := range shards {
		for _, e := range shard {
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
