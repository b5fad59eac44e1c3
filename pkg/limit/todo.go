package limit

import (
	"sync"

	"siskintray.example/siskin"
)

// todo lists what the runtime has to do. Its lock is taken last.
type todo struct {
	mu        sync.Mutex
	customers []siskin.CustomerID // to ask units for
	buckets   []int               // whose record must be read
	kick      chan struct{}
	records   chan struct{} // a bucket was added
}

func (t *todo) addCustomer(id siskin.CustomerID) {
	t.mu.Lock()
	t.customers = append(t.customers, id)
	t.mu.Unlock()
	t.wake()
}

func (t *todo) addBucket(list ...int) {
	t.mu.Lock()
	t.buckets = append(t.buckets, list...)
	t.mu.Unlock()
	t.wake()
	select {
	case t.records <- struct{}{}:
	default:
	}
}

func (t *todo) wake() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

func (t *todo) takeCustomers() []siskin.CustomerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.customers
	t.customers = nil
	return list
}

func (t *todo) takeBuckets() []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.buckets
	t.buckets = nil
	return list
}
