package quota

import (
	"math"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/pacer"
)

// receivedStamp is a stamp of another VM and the time when it was received.
type receivedStamp struct {
	stamp Stamp
	at    time.Time
}

// localBucket is this VM's own token bucket for one customer.
type localBucket struct {
	bucket
	// owner is the VM that this VM's share is lent to, until loanEnd.
	owner   siskin.VMID
	loanEnd time.Time
	// formerOwner had the loan before owner. It may have tokens until
	// formerOwnerUntil, while the loans of other lenders are valid.
	formerOwner      siskin.VMID
	formerOwnerUntil time.Time
	// lastAsked is the owner that was first in the order of the last request to
	// the pools.
	lastAsked siskin.VMID
	// keptFraction is the fraction of the share that was not lent with the
	// present loan.
	keptFraction float64
	// granted is the number of tokens taken from pools, by the class of the
	// request that they were taken for. They are void after expiry.
	granted [siskin.PriorityClasses]float64
	expiry  time.Time
	// refusedUntil is the time until which the pool is not asked again for
	// requests of a class, after a refusal.
	refusedUntil [siskin.PriorityClasses]time.Time
	// readyAt is when the pool expects to have a token for a new request of a
	// class, as it stated at the last refusal.
	readyAt [siskin.PriorityClasses]time.Time
	// scarceUntil is the time until which the customer counts as short of quota.
	scarceUntil time.Time
	// demand is the number of requests in the present prefetchInterval, and
	// lastDemand the number in the one before.
	demand, lastDemand [siskin.PriorityClasses]float64
	demandSince        time.Time
	// recent is the demand of the last second, and obtained the number of tokens
	// got in it.
	recent, obtained classDemand
	returns          pacer.Pacer
}

// keptFraction returns the fraction of its share that a holder keeps while it
// lends the rest. VMs without a share compute it too, so that they ask the same
// owners that the holders lend to.
func (l *Limiter) keptFraction(burst float64) float64 {
	slots := len(l.rights.known.Slots)
	if slots == 0 || burst/float64(slots)*localFraction < minLocalTokens {
		return 0
	}
	return localFraction
}

// accrue adds the tokens that this VM's share earned since the last call. The
// lent fraction earns tokens for the pool instead.
func (l *Limiter) accrue(p *localBucket, now time.Time, rate, burst float64) {
	if p.at.Before(p.loanEnd) {
		lentUntil := p.loanEnd
		if now.Before(lentUntil) {
			lentUntil = now
		}
		p.fill(lentUntil, rate*l.share*p.keptFraction, burst*l.share*p.keptFraction)
	}
	if !now.Before(p.loanEnd) {
		p.fill(now, rate*l.share, burst*l.share)
	}
}

// minHandover is the fraction of a token below which no tokens are sent along
// with a loan.
const minHandover = 0.02

// handOver removes and returns the tokens above keep, which is the burst of the
// fraction that stays with this VM.
func (p *localBucket) handOver(keep float64) float64 {
	tokens := p.tokens - keep
	if tokens < minHandover {
		return 0
	}
	tokens = math.Floor(tokens*100) / 100 // sent with two decimals
	p.tokens -= tokens
	return tokens
}

// countDemand counts requests and starts a new interval when the present one is
// over.
func (p *localBucket) countDemand(now time.Time, class siskin.PriorityClass, n float64) {
	if now.Sub(p.demandSince) > prefetchInterval {
		p.lastDemand = p.demand
		if now.Sub(p.demandSince) > 2*prefetchInterval {
			clear(p.lastDemand[:])
		}
		clear(p.demand[:])
		p.demandSince = now
	}
	p.demand[class] += n
	p.recent.add(now, class, n)
}

// dropExpired voids the granted tokens after their expiry.
func (p *localBucket) dropExpired(now time.Time) {
	if now.After(p.expiry) {
		clear(p.granted[:])
	}
}

// addGranted adds tokens that were taken from a pool for a class and are valid
// until expiry. The earlier expiry applies to all granted tokens, so that none
// is valid for too long.
func (p *localBucket) addGranted(class siskin.PriorityClass, n float64, expiry time.Time) {
	if p.granted == [siskin.PriorityClasses]float64{} || expiry.Before(p.expiry) {
		p.expiry = expiry
	}
	p.granted[class] += n
}

// spendGranted spends n granted tokens of the class or of less urgent ones, and
// reports whether there were enough. Tokens that were taken for a more urgent
// class are left to it.
func (p *localBucket) spendGranted(class siskin.PriorityClass, n float64) bool {
	for c := siskin.LeastUrgent; c >= class; c-- {
		if p.granted[c] >= n {
			p.granted[c] -= n
			return true
		}
	}
	return false
}
