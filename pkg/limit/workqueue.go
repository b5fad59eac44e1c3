package limit

import (
	"sync"

	"siskintray.example/siskin"
)

// workQueue is the work that the core queues for the goroutines of the
// Limiter. Its lock is acquired last.
type workQueue struct {
	mu          sync.Mutex
	customers   []siskin.CustomerID // for which to request units
	buckets     []int               // whose records to read
	wakeSignal  chan struct{}
	bucketAdded chan struct{} // signals that a bucket was queued
}

func (t *workQueue) addCustomer(id siskin.CustomerID) {
	t.mu.Lock()
	t.customers = append(t.customers, id)
	t.mu.Unlock()
	t.wake()
}

func (t *workQueue) addBucket(list ...int) {
	t.mu.Lock()
	t.buckets = append(t.buckets, list...)
	t.mu.Unlock()
	t.wake()
	select {
	case t.bucketAdded <- struct{}{}:
	default:
	}
}

func (t *workQueue) wake() {
	select {
	case t.wakeSignal <- struct{}{}:
	default:
	}
}

func (t *workQueue) takeCustomers() []siskin.CustomerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.customers
	t.customers = nil
	return list
}

func (t *workQueue) takeBuckets() []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.buckets
	t.buckets = nil
	return list
}
