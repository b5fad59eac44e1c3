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
	// loanDuration is the time that a loan counts from the stamp that it cites. It
	// spans several pings, so that one lost ping ends no loan. A longer life would
	// keep shares from their lenders for longer when an owner is cut off.
	loanDuration = 1500 * time.Millisecond
	// localFraction is the part of its share that a VM keeps while the rest is lent.
	// It serves customers for loanLife when the owner of their pool dies. A
	// larger part lies idle where a customer has no callers.
	localFraction = 0.5
	// minLocalTokens is the number of tokens that the kept part of a burst must
	// hold; a smaller part is lent as well. A bucket below one token admits
	// nothing, so in a fleet of 68 VMs half of each rate would be lost.
	minLocalTokens = 2
	// grantTTL is the time after which tokens taken from a pool are void. Up
	// to this much of the rate can fall into a later window; the users' rule
	// leaves a tenth of a window of five seconds.
	grantTTL = 250 * time.Millisecond
	// takeTimeout bounds the questions to the owners of a pool, a few round trips
	// between data centres.
	takeTimeout = 60 * time.Millisecond
	// prefetchInterval is the time for which tokens are taken ahead of demand.
	prefetchInterval = 100 * time.Millisecond
	// maxTake bounds the tokens of one question.
	maxTake = 16
	// refusalBackoff bounds the time in which requests are refused without asking
	// the owner again.
	refusalBackoff = 100 * time.Millisecond
	// silentBackoff is the time in which an owner that gave no answer is not asked
	// again, so that requests do not wait for it one by one. A ping takes as
	// long to find out whether it lives.
	silentBackoff = 400 * time.Millisecond
)

// Config holds what a Limiter depends on.
type Config struct {
	Clock   siskin.Clock
	Run     siskin.Incarnation
	Table   *table.Table
	Members siskin.Members
	Peers   siskin.Peers
	Log     *log.Logger
	// PingNow asks for a ping of a VM that gave no answer.
	PingNow func(siskin.VMID)
}

// Limiter admits requests. It implements siskin.Limiter.
type Limiter struct {
	cfg    Config
	ranker place.Ranker
	// ownerRanker keeps the VMs that hold pools until the list of VMs changes.
	ownerRanker place.Ranker
	// choose picks them.
	choose func(live []siskin.VM) []siskin.VM

	mu      sync.Mutex
	holders []siskin.VMID
	// released says that this VM holds no pools anymore.
	released    bool
	share       float64   // of this VM; zero until the record names it
	shareSince  time.Time // when the share became known
	localBucket map[siskin.CustomerID]*localBucket
	pools       map[siskin.CustomerID]*pool
	stamps      map[siskin.VMID]receivedStamp
	// toReturn are tokens that lenders get back, after Release.
	toReturn map[siskin.VMID]Tokens
	// silentUntil says until when owners that gave no answer are not asked.
	silentUntil map[siskin.VMID]time.Time
}

var (
	_ siskin.Limiter  = (*Limiter)(nil)
	_ siskin.Refunder = (*Limiter)(nil)
)

// New returns a Limiter that holds no share yet.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg: cfg, choose: chooseOwners, localBucket: make(map[siskin.CustomerID]*localBucket),
		pools: make(map[siskin.CustomerID]*pool), stamps: make(map[siskin.VMID]receivedStamp), silentUntil: make(map[siskin.VMID]time.Time),
		toReturn: make(map[siskin.VMID]Tokens),
	}
}

// SetHolders sets the VMs that share the customers' rates. The record of the
// store never changes while a holder could still run, so shares add up to one.
func (l *Limiter) SetHolders(holders []siskin.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holders != nil {
		return // the record never changes
	}
	l.holders, l.shareSince = holders, l.cfg.Clock.Now()
	for _, id := range holders {
		if id == l.cfg.Members.Self().ID {
			l.share = 1 / float64(len(holders))
		}
	}
	l.cfg.Log.Info().Int("Holders", len(holders)).Float64("Share", l.share).Msg("shares of rates are known")
}

// Holders returns the VMs that share the rates, nil when they are not known.
func (l *Limiter) Holders() []siskin.VMID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holders
}

// Share returns this VM's share of each customer's rate.
func (l *Limiter) Share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share
}

// limits returns rate and burst of a customer.
func (l *Limiter) limits(id siskin.CustomerID) (rate, burst float64, ok bool) {
	c, ok := l.cfg.Table.Snapshot().Customer(id)
	if !ok {
		return 0, 0, false
	}
	return float64(c.Rate), float64(c.Burst), true
}

func (l *Limiter) part(id siskin.CustomerID) *localBucket {
	p := l.localBucket[id]
	if p == nil {
		// The share has earned tokens since it is known, whether or not a
		// request of the customer came.
		p = &localBucket{bucket: bucket{at: l.shareSince}}
		l.localBucket[id] = p
	}
	return p
}

// Admit implements siskin.Limiter with this VM's own tokens.
func (l *Limiter) Admit(now time.Time, customer siskin.CustomerID, n siskin.Requests) siskin.Admission {
	rate, burst, ok := l.limits(customer)
	if !ok || customer == "" {
		return siskin.Admission{Admitted: true} // an open route, or a key just withdrawn
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(customer)
	p.countDemand(now, float64(n))
	if now.After(p.expiry) {
		p.granted = 0
	}
	if p.granted >= float64(n) {
		p.granted -= float64(n)
		return siskin.Admission{Admitted: true}
	}
	l.accrue(p, now, rate, burst)
	if p.tokens >= float64(n) {
		p.tokens -= float64(n)
		return siskin.Admission{Admitted: true}
	}
	return siskin.Admission{RetryAfter: retryAfter(rate), WithinRate: true}
}

// Refund implements siskin.Refunder. The tokens live as briefly as those of a
// pool, so that they cannot pile up.
func (l *Limiter) Refund(customer siskin.CustomerID, n siskin.Requests) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, now := l.part(customer), l.cfg.Clock.Now()
	if now.After(p.expiry) {
		p.granted = 0
	}
	if p.granted == 0 {
		p.expiry = now.Add(grantTTL)
	}
	p.granted += float64(n)
}
