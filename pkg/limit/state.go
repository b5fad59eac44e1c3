package limit

import "siskintray.example/siskin"

// holdersOf returns the known holders of a bucket, or nil if this VM is not
// one.
func (c *core) holdersOf(i int) []holderID {
	b := c.bucket(i)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoch == 0 {
		return nil
	}
	return b.holders
}

// reporting returns the bucket's epoch and whether reports for it are missing.
func (c *core) reporting(i int) (epoch uint64, reporting bool) {
	b := c.bucket(i)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.epoch, b.reporting
}

// servedCustomer returns a customer in the bucket whose requests this VM
// admits, or the empty id if there is none.
func (c *core) servedCustomer(i int) siskin.CustomerID {
	b := c.bucket(i)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.servedCustomer
}

// units returns the units that this VM holds for a customer.
func (c *core) units(id siskin.CustomerID) siskin.QuotaUnits {
	b := c.bucket(bucketOf(id))
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.holdings.get(id); h != nil {
		return h.units
	}
	return b.defaultUnits
}

// bucketsOf returns the buckets of an object that are in use at this VM.
func (c *core) bucketsOf(o int) (list []int) {
	for i := o; i < buckets; i += objects {
		if c.buckets[i].Load() != nil {
			list = append(list, i)
		}
	}
	return list
}

// Units returns the units that this VM holds for a customer.
func (l *Limiter) Units(customer siskin.CustomerID) siskin.QuotaUnits { return l.core.units(customer) }
