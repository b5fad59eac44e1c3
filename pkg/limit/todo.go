package limit

import (
	"sync"

	"siskintray.example/siskin"
)

// workQueue lists what the runtime has to do. Its lock is taken last.
type workQueue struct {
	mu          sync.Mutex
	customers   []siskin.CustomerID // to ask units for
	buckets     []int               // whose record must be read
	wakeSignal  chan struct{}
	bucketAdded chan struct{} // a bucket was added
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
