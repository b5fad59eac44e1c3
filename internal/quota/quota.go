package quota

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/table"
	"siskintray.example/siskin/pkg/place"
)

const (
	// loanLife is the time that a loan counts from the stamp that it cites. It
	// spans several pings, so that one lost ping ends no loan.
	loanLife = 1500 * time.Millisecond
	// ownPart is the part of its share that a VM keeps while the rest is lent.
	// It serves customers for loanLife when the owner of their pool dies. A
	// larger part lies idle where a customer has no callers.
	ownPart = 0.5
	// grantLife is the time after which tokens taken from a pool are void. Up
	// to this much of the rate can fall into a later window; the users' rule
	// leaves a tenth of a window of five seconds.
	grantLife = 250 * time.Millisecond
	// takeTimeout bounds the question to the owner of a pool, a few round trips
	// between data centres.
	takeTimeout = 60 * time.Millisecond
	// takeAhead is the time for which tokens are taken ahead of demand.
	takeAhead = 100 * time.Millisecond
	// maxTake bounds the tokens of one question.
	maxTake = 16
	// refusedFor bounds the time in which requests are refused without asking
	// the owner again.
	refusedFor = 100 * time.Millisecond
)

// Config holds what a Limiter depends on.
type Config struct {
	Clock   siskin.Clock
	Run     siskin.Incarnation
	Table   *table.Table
	Members siskin.Members
	Peers   siskin.Peers
	Log     *log.Logger
}

// Limiter admits requests. It implements siskin.Limiter.
type Limiter struct {
	cfg    Config
	ranker place.Ranker

	mu      sync.Mutex
	holders []siskin.VMID
	// released says that this VM holds no pools anymore.
	released bool
	share    float64   // of this VM; zero until the record names it
	since    time.Time // when the share became known
	local    map[siskin.CustomerID]*local
	pools    map[siskin.CustomerID]*pool
	stamps   map[siskin.VMID]received
}

var (
	_ siskin.Limiter  = (*Limiter)(nil)
	_ siskin.Refunder = (*Limiter)(nil)
)

// received is a stamp of another VM and when it came.
type received struct {
	stamp Stamp
	at    time.Time
}

// local is this VM's part of one customer.
type local struct {
	bucket
	// owner holds the loan, whose end this VM awaits until the time lent.
	owner siskin.VMID
	lent  time.Time
	// granted are tokens of the pool that expire.
	granted float64
	expiry  time.Time
	// refused is the time until which the pool is not asked again.
	refused time.Time
	// demand is the number of requests in the present interval of takeAhead,
	// and last that in the one before.
	demand, last float64
	since        time.Time
}

// New returns a Limiter that holds no share yet.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg: cfg, local: make(map[siskin.CustomerID]*local),
		pools: make(map[siskin.CustomerID]*pool), stamps: make(map[siskin.VMID]received),
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
	l.holders, l.since = holders, l.cfg.Clock.Now()
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

func (l *Limiter) part(id siskin.CustomerID) *local {
	p := l.local[id]
	if p == nil {
		// The share has earned tokens since it is known, whether or not a
		// request of the customer came.
		p = &local{bucket: bucket{at: l.since}}
		l.local[id] = p
	}
	return p
}

// earn adds the tokens that this VM's part of the share earned. What is lent
// earns for the pool.
func (l *Limiter) earn(p *local, now time.Time, rate, burst float64) {
	if p.at.Before(p.lent) {
		lentUntil := p.lent
		if now.Before(lentUntil) {
			lentUntil = now
		}
		p.fill(lentUntil, rate*l.share*ownPart, burst*l.share*ownPart)
	}
	if !now.Before(p.lent) {
		p.fill(now, rate*l.share, burst*l.share)
	}
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
	p.count(now, float64(n))
	if now.After(p.expiry) {
		p.granted = 0
	}
	if p.granted >= float64(n) {
		p.granted -= float64(n)
		return siskin.Admission{Admitted: true}
	}
	l.earn(p, now, rate, burst)
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
		p.expiry = now.Add(grantLife)
	}
	p.granted += float64(n)
}

// count keeps the demand of the last interval.
func (p *local) count(now time.Time, n float64) {
	if now.Sub(p.since) > takeAhead {
		p.last = p.demand
		if now.Sub(p.since) > 2*takeAhead {
			p.last = 0
		}
		p.demand, p.since = 0, now
	}
	p.demand += n
}

func retryAfter(rate float64) time.Duration {
	if rate <= 0 {
		return time.Second
	}
	return max(20*time.Millisecond, time.Duration(float64(time.Second)/rate))
}

// AdmitWait implements siskin.Limiter. It asks the owner of the customer's
// pool when this VM's own tokens are used up.
func (l *Limiter) AdmitWait(ctx context.Context, customer siskin.CustomerID, n siskin.Requests) siskin.Admission {
	now := l.cfg.Clock.Now()
	adm := l.Admit(now, customer, n)
	if adm.Admitted {
		return adm
	}
	owner, tokens, ok := l.ask(now, customer, float64(n))
	if !ok {
		return adm
	}
	var reply TakeReply
	args := &TakeArgs{Customer: customer, Tokens: tokens}
	if owner == l.cfg.Members.Self().ID {
		reply = l.Take(args)
	} else {
		ctx, cancel := context.WithTimeout(ctx, takeTimeout)
		defer cancel()
		if err := l.cfg.Peers.Call(ctx, owner, "Quota.Take", args, &reply); err != nil {
			l.cfg.Log.Info().Err(err).Str("Customer", string(customer)).Str("Owner", string(owner)).Msg("the pool gave no answer")
			return adm
		}
	}
	return l.settle(now, customer, float64(n), &reply)
}

// ask returns the owner of the pool and the tokens to ask for.
func (l *Limiter) ask(now time.Time, customer siskin.CustomerID, n float64) (siskin.VMID, int, bool) {
	owner, ok := l.owner(customer)
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(customer)
	if !ok || now.Before(p.refused) {
		return "", 0, false
	}
	return owner, int(min(maxTake, max(n, p.last))), true
}

// settle takes over granted tokens and spends n of them.
func (l *Limiter) settle(asked time.Time, customer siskin.CustomerID, n float64, reply *TakeReply) siskin.Admission {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(customer)
	now := l.cfg.Clock.Now()
	if now.After(p.expiry) {
		p.granted = 0
	}
	if now.Before(asked.Add(grantLife)) {
		p.granted += float64(reply.Tokens)
		// An earlier expiry of other tokens is kept, so none lives too long.
		if e := asked.Add(grantLife); p.granted == float64(reply.Tokens) || e.Before(p.expiry) {
			p.expiry = e
		}
	}
	if p.granted >= n {
		p.granted -= n
		return siskin.Admission{Admitted: true}
	}
	p.refused = now.Add(min(refusedFor, reply.RetryAfter))
	return siskin.Admission{RetryAfter: reply.RetryAfter}
}

// owner returns the VM that holds the pool of a customer.
func (l *Limiter) owner(customer siskin.CustomerID) (siskin.VMID, bool) {
	list := l.ranker.Rank("rate/"+string(customer), l.cfg.Members.Live(), l.chooseOwners)
	if len(list) == 0 {
		return "", false
	}
	return list[0].ID, true
}

// maxOwners bounds the VMs that hold pools, since every VM exchanges loans with
// each of them several times a second.
const maxOwners = 8

// chooseOwners returns the VMs that hold the pools of all customers.
func (l *Limiter) chooseOwners(live []siskin.VM) []siskin.VM {
	if len(live) <= maxOwners {
		return live
	}
	return place.Rank("rates", live)[:maxOwners]
}

// Owners returns the ids of the VMs that hold pools.
func (l *Limiter) Owners() []siskin.VMID {
	var ids []siskin.VMID
	for _, vm := range l.ranker.Rank("rates", l.cfg.Members.Live(), l.chooseOwners) {
		ids = append(ids, vm.ID)
	}
	return ids
}

// Take grants tokens of a pool that this VM holds.
func (l *Limiter) Take(args *TakeArgs) TakeReply {
	rate, burst, ok := l.limits(args.Customer)
	if !ok {
		return TakeReply{RetryAfter: time.Second}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return TakeReply{RetryAfter: retryAfter(rate)}
	}
	p := l.pools[args.Customer]
	if p == nil {
		return TakeReply{RetryAfter: retryAfter(rate)}
	}
	p.fill(l.cfg.Clock.Now(), rate, burst)
	return TakeReply{Tokens: int(p.take(float64(args.Tokens))), RetryAfter: retryAfter(rate)}
}

// Release drops the pools of this VM for good, since it is about to stop, so
// that its lenders can lend to others at once.
func (l *Limiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
	clear(l.pools)
}

// Released reports whether the pools of this VM were dropped.
func (l *Limiter) Released() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}

// Returned takes over that a VM has dropped its pools: what this VM lent to it
// is its own again.
func (l *Limiter) Returned(from siskin.VMID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	for id, p := range l.local {
		if p.owner == from && now.Before(p.lent) {
			if rate, burst, ok := l.limits(id); ok {
				l.earn(p, now, rate, burst)
			}
			p.lent = now
		}
	}
	delete(l.stamps, from)
}

// Stamp returns a stamp that loans to this VM may cite.
func (l *Limiter) Stamp() Stamp { return Stamp{Run: l.cfg.Run, At: l.cfg.Clock.Now().UnixNano()} }

// Received takes over a stamp of another VM.
func (l *Limiter) Received(from siskin.VMID, s Stamp) {
	if s.Run == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stamps[from] = received{s, l.cfg.Clock.Now()}
}

// Loans returns the loans to send to a VM with the next ping, nil when it owns
// no pool. The shares count as lent from now on.
func (l *Limiter) Loans(to siskin.VMID) *Loans {
	snap := l.cfg.Table.Snapshot()
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.stamps[to]
	if !ok || l.share == 0 || now.Sub(r.at) > loanLife/2 {
		return nil
	}
	loans := &Loans{From: l.cfg.Members.Self().ID, Stamp: r.stamp, Share: l.share * (1 - ownPart)}
	for i := range snap.Customers {
		if l.lend(&snap.Customers[i], to, now, r.at.Add(loanLife)) {
			loans.Customers = append(loans.Customers, snap.Customers[i].ID)
		}
	}
	if len(loans.Customers) == 0 {
		return nil
	}
	return loans
}

// lend notes a loan that ends at until, unless another VM's is still open.
func (l *Limiter) lend(c *siskin.CustomerSpec, to siskin.VMID, now, until time.Time) bool {
	if owner, ok := l.owner(c.ID); !ok || owner != to {
		return false
	}
	p := l.part(c.ID)
	if p.owner != to && now.Before(p.lent) {
		return false
	}
	l.earn(p, now, float64(c.Rate), float64(c.Burst))
	p.owner, p.lent = to, until
	return true
}

// Lent takes over loans of another VM, or of this one.
func (l *Limiter) Lent(loans *Loans) {
	issued := time.Unix(0, loans.Stamp.At)
	now := l.cfg.Clock.Now()
	if loans.Stamp.Run != l.cfg.Run || now.Sub(issued) > loanLife || loans.Share <= 0 || loans.Share > 1 {
		return // of an earlier run, or late
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return
	}
	for _, id := range loans.Customers {
		rate, burst, ok := l.limits(id)
		if !ok {
			continue
		}
		p := l.pools[id]
		if p == nil {
			p = &pool{loans: make(map[siskin.VMID]loan)}
			l.pools[id] = p
		}
		p.lend(now, rate, burst, loans.From, loan{loans.Share, issued.Add(loanLife)})
	}
}

// LendSelf lends this VM's shares to the pools that it holds itself.
func (l *Limiter) LendSelf() {
	self := l.cfg.Members.Self().ID
	l.Received(self, l.Stamp())
	if loans := l.Loans(self); loans != nil {
		l.Lent(loans)
	}
}

// Receiver serves the calls of peers under the name Quota.
type Receiver struct{ l *Limiter }

// Receiver returns the receiver to register.
func (l *Limiter) Receiver() *Receiver { return &Receiver{l} }

// Take grants tokens of a pool.
func (r *Receiver) Take(args *TakeArgs, reply *TakeReply) error {
	*reply = r.l.Take(args)
	return nil
}
