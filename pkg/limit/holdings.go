package limit

import (
	"iter"

	"siskintray.example/siskin"
)

// holdings are the holdings in one bucket, in order of creation. Most buckets
// have one or two. The first is stored inline, so that an admission reaches it
// without another memory access when there are many customers.
type holdings struct {
	first holding
	more  []*holding
}

// get returns the holding of a customer, or nil if there is none.
func (s *holdings) get(id siskin.CustomerID) *holding { return s.lookup(hashOf(id), id) }

// lookup is like get, but takes the hash of the customer. It compares the
// hashes first, since most ids are stored elsewhere in memory.
func (s *holdings) lookup(hash uint64, id siskin.CustomerID) *holding {
	if s.first.hash == hash && s.first.id == id {
		return &s.first
	}
	for _, h := range s.more {
		if h.hash == hash && h.id == id {
			return h
		}
	}
	return nil
}

// add adds a holding for a customer that has none and returns it.
func (s *holdings) add(id siskin.CustomerID) *holding {
	h := &s.first
	if h.assigned {
		h = new(holding)
		s.more = append(s.more, h)
	}
	h.id, h.hash, h.assigned = id, hashOf(id), true
	return h
}

func (s *holdings) all() iter.Seq[*holding] {
	return func(yield func(*holding) bool) {
		if !s.first.assigned || !yield(&s.first) {
			return
		}
		for _, h := range s.more {
			if !yield(h) {
				return
			}
		}
	}
}
