package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// core holds one VM's rights and decides on admissions, requests for units and
// gifts. It does no input or output.
type core struct {
	self holderID
	view config.View

	buckets [buckets]bucket

	// mu guards the exchange with other holders. It is taken before the lock of
	// a bucket.
	mu      sync.Mutex
	links   map[siskin.VMID]*link
	given   map[siskin.VMID]*answered
	seq     uint64 // of the latest request for units, to any holder
	budget  budget
	leaving atomic.Bool // a planned stop is handing over; nothing is asked for

	todo todo
}

func newCore(self holderID, view config.View) *core {
	c := &core{
		self: self, view: view,
		links: make(map[siskin.VMID]*link),
		given: make(map[siskin.VMID]*answered),
		todo:  todo{kick: make(chan struct{}, 1)},
	}
	for i := range c.buckets {
		c.buckets[i].holdings = make(map[siskin.CustomerID]*holding)
	}
	return c
}

func bucketOf(id siskin.CustomerID) int { return int(xxhash.Sum64String(string(id)) % buckets) }

// admit takes n tokens from the customer's bucket, all or none. Fresh is false
// for a request that was refused before and waited.
func (c *core) admit(now time.Duration, id siskin.CustomerID, n float64, fresh bool) siskin.Admission {
	i := bucketOf(id)
	b := &c.buckets[i]
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holding(now, id, c.view)
	if h == nil || !h.known {
		return siskin.Admission{RetryAfter: unknownRetry}
	}
	b.serves = true
	if b.epoch == 0 {
		c.read(i, b)
	}
	h.refill(now)
	ahead := 0.0
	if fresh {
		h.demand.add(now, n)
		ahead = h.queued
	}
	admitted := h.tokens >= n+ahead
	if admitted {
		h.tokens -= n
		h.refillReference(now)
		h.reference.take(n)
	} else {
		h.need = n - h.tokens
	}
	if !h.wanted && now >= h.askAfter && h.short(now, n, admitted) {
		h.wanted = true
		c.todo.addCustomer(id)
	}
	if admitted {
		return siskin.Admission{Admitted: true}
	}
	return siskin.Admission{RetryAfter: h.retryAfter(n)}
}

// unknownRetry is the time to wait while the customer is not in the
// configuration in force here; a new customer is known everywhere within 9 s.
const unknownRetry = time.Second

// maxRetry bounds the time to wait that is told to a caller. Units may arrive
// long before the present share would admit the request.
const maxRetry = time.Second

func (h *holding) retryAfter(n float64) time.Duration { return min(h.accrual(n), maxRetry) }

// never is the time in which n requests accrue when the share is too small for
// them at all.
const never = time.Duration(math.MaxInt64)

// accrual returns the time in which the present share earns n tokens.
func (h *holding) accrual(n float64) time.Duration {
	perSecond := h.rate * h.share()
	seconds := (n - h.tokens) / perSecond
	if perSecond <= 0 || n > h.burst*h.share() || seconds > never.Seconds()/2 {
		return never
	}
	return time.Duration(seconds*float64(time.Second)) + 1
}

// prepare makes this VM a holder of a bucket.
func (c *core) prepare(i int) {
	b := &c.buckets[i]
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serves = true
	if b.epoch == 0 {
		c.read(i, b)
	}
}

// read asks the runtime to read the platform's record of a bucket. The caller
// holds the bucket's lock.
func (c *core) read(i int, b *bucket) {
	if !b.reading {
		b.reading = true
		c.todo.addBucket(i)
	}
}

// refresh applies the configuration's rates to all holdings.
func (c *core) refresh(now time.Duration) {
	for i := range c.buckets {
		b := &c.buckets[i]
		b.mu.Lock()
		for _, h := range b.holdings {
			h.learn(now, c.view)
		}
		b.mu.Unlock()
	}
}

// apply takes over the platform's record of a bucket.
func (c *core) apply(now time.Duration, i int, r *record) {
	b := &c.buckets[i]
	b.mu.Lock()
	b.apply(now, c.self, r)
	b.reading = false
	b.mu.Unlock()
}

// report enters an epoch, if it is newer, and returns the state on entering.
func (c *core) report(i int, epoch uint64) (ReportReply, error) {
	b := &c.buckets[i]
	b.mu.Lock()
	defer b.mu.Unlock()
	if epoch < b.epoch {
		return ReportReply{}, siskin.NewError(siskin.Conflict, "bucket %d is at epoch %d, not %d", i, b.epoch, epoch).
			WithRemedy("read the bucket's object again")
	}
	if epoch > b.epoch {
		b.enter(epoch)
		c.read(i, b) // for the holders of the epoch and the end of its reclaim
	}
	return b.report, nil
}

// drop gives up all rights.
func (c *core) drop() {
	for i := range c.buckets {
		b := &c.buckets[i]
		b.mu.Lock()
		b.drop()
		b.mu.Unlock()
	}
}
