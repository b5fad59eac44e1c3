package member

import (
	"math/bits"

	"siskintray.example/siskin"
)

// news holds the latest records that others may not know, each until it was
// sent often enough to reach everyone with high probability.
type news struct {
	items map[siskin.VMID]*item
	fresh []*item // never sent, latest last
	sent  []*item // sent before, least recently sent first
}

type item struct {
	Record
	count int
}

func newNews() *news { return &news{items: make(map[siskin.VMID]*item)} }

func (n *news) add(r Record) {
	it := &item{Record: r}
	n.items[r.ID] = it
	n.fresh = append(n.fresh, it)
}

// take returns up to maxUpdates records, fresh ones first, and counts them as
// sent.
func (n *news) take(fleet int) []Record {
	if len(n.items) == 0 {
		n.fresh, n.sent = nil, nil
		return nil
	}
	// Twice to each observer and each observed member, and more in a larger
	// fleet, where news has more hops to go.
	limit := 3 + bits.Len(uint(fleet))
	records := make([]Record, 0, min(len(n.items), maxUpdates))
	var again []*item
	for len(records) < maxUpdates {
		it := n.pop()
		if it == nil {
			break
		}
		if n.items[it.ID] != it {
			continue // replaced by a later record
		}
		records = append(records, it.Record)
		if it.count++; it.count < limit {
			again = append(again, it)
		} else {
			delete(n.items, it.ID)
		}
	}
	n.sent = append(n.sent, again...)
	return records
}

func (n *news) pop() *item {
	var it *item
	switch {
	case len(n.fresh) > 0:
		last := len(n.fresh) - 1
		it, n.fresh = n.fresh[last], n.fresh[:last]
	case len(n.sent) > 0:
		it, n.sent = n.sent[0], n.sent[1:]
	}
	return it
}
