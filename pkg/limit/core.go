package limit

import (
	"iter"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// core holds the quota of one VM and decides on admissions, requests for units
// and transfers. It does no I/O.
type core struct {
	self holderID
	view config.View
	// dataCentre returns the data centre of a VM, or the empty id if it is
	// unknown.
	dataCentre func(siskin.VMID) siskin.DataCentreID

	// buckets are created on first use and never removed.
	buckets [buckets]atomic.Pointer[bucket]

	// mu guards the exchange with other holders. It is acquired before the
	// lock of a bucket.
	mu       sync.Mutex
	links    map[siskin.VMID]*link
	replies  map[siskin.VMID]*cachedReply
	seq      uint64 // of the latest request for units to any holder
	budget   budget
	stopping atomic.Bool // the VM hands over its units or is gone; it requests none

	workQueue workQueue
}

func newCore(self holderID, view config.View, dataCentre func(siskin.VMID) siskin.DataCentreID) *core {
	c := &core{
		self: self, view: view, dataCentre: dataCentre,
		links:     make(map[siskin.VMID]*link),
		replies:   make(map[siskin.VMID]*cachedReply),
		workQueue: workQueue{wakeSignal: make(chan struct{}, 1), bucketAdded: make(chan struct{}, 1)},
	}
	return c
}

func hashOf(id siskin.CustomerID) uint64 { return xxhash.Sum64String(string(id)) }

func bucketOf(id siskin.CustomerID) int { return int(hashOf(id) % buckets) }

// bucket returns a bucket and creates it if necessary.
func (c *core) bucket(i int) *bucket {
	if b := c.buckets[i].Load(); b != nil {
		return b
	}
	c.buckets[i].CompareAndSwap(nil, new(bucket))
	return c.buckets[i].Load()
}

// each returns the buckets in use, in ascending order.
func (c *core) each() iter.Seq2[int, *bucket] {
	return func(yield func(int, *bucket) bool) {
		for i := range c.buckets {
			if b := c.buckets[i].Load(); b != nil && !yield(i, b) {
				return
			}
		}
	}
}

// admit takes n tokens from the customer's token bucket, all or none. Fresh is
// false for a request that was rejected before and waited.
func (c *core) admit(now time.Duration, id siskin.CustomerID, n float64, fresh bool) siskin.Admission {
	hash := hashOf(id)
	i := int(hash % buckets)
	b := c.bucket(i)
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holdingOf(now, hash, id, c.view)
	if h == nil || !h.configured {
		return siskin.Admission{RetryAfter: unknownRetry}
	}
	if b.epoch == 0 {
		c.join(i, b, id)
	}
	h.refill(now)
	ahead := 0.0
	if fresh {
		h.demand.add(now, n)
		ahead = h.waitingTokens
	}
	admitted := h.tokens >= n+ahead
	if admitted {
		h.tokens -= n
		h.refillReference(now)
		h.reference.take(n)
	} else {
		h.lastDeficit = n - h.tokens
	}
	if !h.askQueued && now >= h.askAfter && h.needsUnits(now, n, admitted) {
		h.askQueued = true
		c.workQueue.addCustomer(id)
	}
	if admitted {
		return siskin.Admission{Admitted: true}
	}
	return siskin.Admission{RetryAfter: h.retryAfter(n)}
}

// unknownRetry is the retry delay for a customer that is not in the
// configuration in force at this VM. A new customer is known everywhere within
// 9 s.
const unknownRetry = time.Second

// maxRetry bounds the retry delay in an Admission. Units may arrive long
// before the current share of the rate would admit the request.
const maxRetry = time.Second

func (h *holding) retryAfter(n float64) time.Duration { return min(h.accrualTime(n), maxRetry) }

// never is the accrual time of tokens that the current share can never earn.
const never = time.Duration(math.MaxInt64)

// accrualTime returns the time until the token bucket holds n tokens at the
// current share.
func (h *holding) accrualTime(n float64) time.Duration {
	perSecond := h.rate * h.share()
	seconds := (n - h.tokens) / perSecond
	if perSecond <= 0 || n > h.burst*h.share() || seconds > never.Seconds()/2 {
		return never
	}
	return time.Duration(seconds*float64(time.Second)) + 1
}

// prepare makes this VM a holder of the customer's bucket.
func (c *core) prepare(id siskin.CustomerID) {
	i := bucketOf(id)
	b := c.bucket(i)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoch == 0 {
		c.join(i, b, id)
	}
}

// join queues a read of the record that makes this VM a holder of a bucket.
// The caller holds the bucket's lock.
func (c *core) join(i int, b *bucket, id siskin.CustomerID) {
	b.servedCustomer = id
	c.requestRead(i, b)
}

// requestRead queues a read of the platform's record of a bucket. The caller
// holds the bucket's lock.
func (c *core) requestRead(i int, b *bucket) {
	if !b.readPending {
		b.readPending = true
		c.workQueue.addBucket(i)
	}
}

// refreshLimits sets the configured rates and bursts in all holdings.
func (c *core) refreshLimits(now time.Duration) {
	for _, b := range c.each() {
		b.mu.Lock()
		for h := range b.holdings.all() {
			h.setLimits(now, c.view)
		}
		b.mu.Unlock()
	}
}

// apply applies the platform's record of a bucket.
func (c *core) apply(now time.Duration, i int, r *record) {
	b := c.bucket(i)
	b.mu.Lock()
	b.apply(now, c.self, r)
	b.readPending = false
	b.mu.Unlock()
}

// report starts an epoch if it is newer than the current one, and returns the
// state at the start of the epoch.
func (c *core) report(i int, epoch uint64) (ReportReply, error) {
	b := c.bucket(i)
	b.mu.Lock()
	defer b.mu.Unlock()
	if epoch < b.epoch {
		return ReportReply{}, siskin.NewError(siskin.Conflict, "bucket %d is at epoch %d, not %d", i, b.epoch, epoch).
			WithRemedy("read the bucket's object again")
	}
	if epoch > b.epoch {
		b.enterEpoch(epoch)
		c.requestRead(i, b) // to learn the holders of the epoch and the end of its reclaim
	}
	return b.report, nil
}

// drop drops all units.
func (c *core) drop() {
	for _, b := range c.each() {
		b.mu.Lock()
		b.drop()
		b.mu.Unlock()
	}
}
