package quota

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/table"
	"siskintray.example/siskin/pkg/place"
)

const (
	// LoanDuration is the time for which a loan is valid, from the stamp that it
	// refers to. It spans several pings, so that one lost ping ends no loan.
	// With a longer duration, lenders would go without their shares for longer
	// when an owner is cut off.
	LoanDuration = 1500 * time.Millisecond
	// localFraction is the fraction of its share that a VM keeps while the rest
	// is lent. It serves customers for LoanDuration when the owner of their
	// pool crashes. A larger fraction would be unused on VMs where the customer
	// sends no requests.
	localFraction = 0.5
	// minLocalTokens is the number of tokens that the kept fraction of a burst
	// must hold; below it the whole share is lent. A bucket of less than one
	// token admits nothing, so in a fleet of 68 VMs half of each rate would be
	// lost.
	minLocalTokens = 2
	// grantTTL is the time after which tokens taken from a pool expire. The
	// tokens of up to this much time can be spent in a later window; the
	// requirement tolerates a tenth of a window of five seconds.
	grantTTL = 250 * time.Millisecond
	// takeTimeout bounds all requests to the owners of a customer's pools for
	// one admission. It allows a few round trips between data centres.
	takeTimeout = 60 * time.Millisecond
	// prefetchInterval is the time for which tokens are taken ahead of demand.
	prefetchInterval = 100 * time.Millisecond
	// maxTake is the largest number of tokens in one request to an owner.
	maxTake = 16
	// refusalBackoff bounds the time for which requests are refused without
	// asking the owners again.
	refusalBackoff = 100 * time.Millisecond
	// silentBackoff is the time for which an owner that didn't answer is not
	// asked again, so that requests don't wait for it one after another. A ping
	// takes about as long to find out whether the VM is up.
	silentBackoff = 400 * time.Millisecond
)

// Config holds the dependencies of a Limiter.
type Config struct {
	Clock   siskin.Clock
	Run     siskin.Incarnation
	Table   *table.Table
	Members siskin.Members
	Peers   siskin.Peers
	Log     *log.Logger
	// PingNow triggers a ping of a VM that didn't answer.
	PingNow func(siskin.VMID)
}

// Limiter admits requests within the rates of customers. It implements
// siskin.Limiter.
type Limiter struct {
	cfg     Config
	started time.Time
	ranker  place.Ranker
	// ownerRanker caches the VMs that own pools until the list of VMs changes.
	ownerRanker place.Ranker
	// choose selects the VMs that own pools.
	choose func(live []siskin.VM) []siskin.VM

	mu     sync.Mutex
	rights rightsState
	// released is set once this VM has dropped its pools.
	released     bool
	share        float64   // that this VM may spend
	shareSince   time.Time // time from which it earns tokens
	localBuckets map[siskin.CustomerID]*localBucket
	pools        map[siskin.CustomerID]*pool
	stamps       map[siskin.VMID]receivedStamp
	// toReturn holds the tokens to send back to lenders after ReleasePools.
	toReturn map[siskin.VMID]Tokens
	// silentUntil is the time until which an owner that didn't answer is not
	// asked.
	silentUntil map[siskin.VMID]time.Time
}

var (
	_ siskin.Limiter      = (*Limiter)(nil)
	_ siskin.ClassLimiter = (*Limiter)(nil)
	_ siskin.Refunder     = (*Limiter)(nil)
)

// New returns a Limiter that has no share yet.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg: cfg, started: cfg.Clock.Now(), choose: chooseOwners, localBuckets: make(map[siskin.CustomerID]*localBucket),
		pools: make(map[siskin.CustomerID]*pool), stamps: make(map[siskin.VMID]receivedStamp), silentUntil: make(map[siskin.VMID]time.Time),
		toReturn: make(map[siskin.VMID]Tokens), rights: rightsState{aware: make(map[siskin.VMID]awareness)},
	}
}

// Share returns this VM's share of each customer's rate.
func (l *Limiter) Share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshShare(l.cfg.Clock.Now())
	return l.share
}

// limits returns the rate and burst of a customer.
func (l *Limiter) limits(id siskin.CustomerID) (rate, burst float64, ok bool) {
	c, ok := l.cfg.Table.Snapshot().Customer(id)
	if !ok {
		return 0, 0, false
	}
	return float64(c.Rate), float64(c.Burst), true
}

// localBucketOf returns this VM's bucket for a customer. The caller holds mu.
func (l *Limiter) localBucketOf(id siskin.CustomerID) *localBucket {
	p := l.localBuckets[id]
	if p == nil {
		// The share earns tokens whether or not the customer has sent a request.
		p = &localBucket{bucket: bucket{at: l.shareSince}}
		l.localBuckets[id] = p
	}
	return p
}

// Admit implements siskin.Limiter. It uses only the tokens that this VM has.
func (l *Limiter) Admit(now time.Time, customer siskin.CustomerID, n siskin.Requests) siskin.Admission {
	return l.admitLocal(now, customer, 0, float64(n))
}

func (l *Limiter) admitLocal(now time.Time, customer siskin.CustomerID, class siskin.PriorityClass, n float64) siskin.Admission {
	rate, burst, ok := l.limits(customer)
	if !ok || customer == "" {
		return siskin.Admission{Admitted: true} // a route without a limit, or a key that was just withdrawn
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshShare(now)
	p := l.localBucketOf(customer)
	p.countDemand(now, class, n)
	p.dropExpired(now)
	if p.spendGranted(class, n) {
		return siskin.Admission{Admitted: true}
	}
	l.accrue(p, now, rate, burst)
	reserved := 0.0
	if now.Before(p.scarceUntil) {
		reserved = reserveOf(&p.recent, now, class, burst*l.share)
	}
	if p.tokens >= n+reserved {
		p.tokens -= n
		p.obtained.add(now, 0, n)
		return siskin.Admission{Admitted: true}
	}
	return siskin.Admission{RetryAfter: retryAfter(rate), WithinRate: true}
}

// Refund implements siskin.Refunder. Refunded tokens expire like those taken
// from a pool, so that they cannot accumulate.
func (l *Limiter) Refund(customer siskin.CustomerID, n siskin.Requests) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, now := l.localBucketOf(customer), l.cfg.Clock.Now()
	p.dropExpired(now)
	if p.granted == [siskin.PriorityClasses]float64{} {
		p.expiry = now.Add(grantTTL)
	}
	p.granted[siskin.LeastUrgent] += float64(n)
}
