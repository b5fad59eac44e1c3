package member

import (
	"math/bits"

	"siskintray.example/siskin"
)

// updateQueue holds the latest records that others may not know, each until it
// was sent often enough to reach all VMs with high probability.
type updateQueue struct {
	latest map[siskin.VMID]*queuedUpdate
	unsent []*queuedUpdate // never sent, latest last
	sent   []*queuedUpdate // sent before, least recently sent first
}

// queuedUpdate is a record and the number of times it was sent.
type queuedUpdate struct {
	Record
	sends int
}

func newUpdateQueue() *updateQueue { return &updateQueue{latest: make(map[siskin.VMID]*queuedUpdate)} }

func (n *updateQueue) add(r Record) {
	it := &queuedUpdate{Record: r}
	n.latest[r.ID] = it
	n.unsent = append(n.unsent, it)
}

// take returns up to maxUpdates records, unsent ones first, and counts them as
// sent.
func (n *updateQueue) take(fleetSize int) []Record {
	if len(n.latest) == 0 {
		n.unsent, n.sent = nil, nil
		return nil
	}
	// Enough to send twice to each observer and each observed member, and more in
	// a larger fleet, where updates need more hops.
	limit := 3 + bits.Len(uint(fleetSize))
	records := make([]Record, 0, min(len(n.latest), maxUpdates))
	var again []*queuedUpdate
	for len(records) < maxUpdates {
		it := n.pop()
		if it == nil {
			break
		}
		if n.latest[it.ID] != it {
			continue // replaced by a later record
		}
		records = append(records, it.Record)
		if it.sends++; it.sends < limit {
			again = append(again, it)
		} else {
			delete(n.latest, it.ID)
		}
	}
	n.sent = append(n.sent, again...)
	return records
}

func (n *updateQueue) pop() *queuedUpdate {
	var it *queuedUpdate
	switch {
	case len(n.unsent) > 0:
		last := len(n.unsent) - 1
		it, n.unsent = n.unsent[last], n.unsent[:last]
	case len(n.sent) > 0:
		it, n.sent = n.sent[0], n.sent[1:]
	}
	return it
}
