package limit

import "siskintray.example/siskin"

// holdersOf returns the known holders of a bucket that this VM is a holder of.
func (c *core) holdersOf(i int) []holderID {
	b := &c.buckets[i]
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoch == 0 {
		return nil
	}
	return b.holders
}

// reporting reports whether the bucket's epoch still waits for reports.
func (c *core) reporting(i int) bool {
	b := &c.buckets[i]
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reporting
}

// serves reports whether this VM had requests for customers of the bucket.
func (c *core) serves(i int) bool {
	b := &c.buckets[i]
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serves
}

// units returns what this VM holds for a customer.
func (c *core) units(id siskin.CustomerID) siskin.Units {
	b := &c.buckets[bucketOf(id)]
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.holdings[id]; h != nil {
		return h.units
	}
	return b.rest
}
