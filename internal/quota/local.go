package quota

import (
	"math"
	"time"

	"siskintray.example/siskin"
)

// receivedStamp is a stamp of another VM and when it came.
type receivedStamp struct {
	stamp Stamp
	at    time.Time
}

// localBucket is this VM's part of one customer.
type localBucket struct {
	bucket
	// owner holds the loan, whose end this VM awaits until the time lent.
	owner   siskin.VMID
	loanEnd time.Time
	// formerOwner held the loan before owner, and may have tokens until formerUntil,
	// while the loans of other lenders last.
	formerOwner      siskin.VMID
	formerOwnerUntil time.Time
	// lastAsked is the owner that this VM lastAsked first the last time.
	lastAsked siskin.VMID
	// keptFraction is the part of the share that was not lent with that loan.
	keptFraction float64
	// granted are tokens of the pool that expire.
	granted float64
	expiry  time.Time
	// refusedUntil is the time until which the pool is not asked again.
	refusedUntil time.Time
	// demand is the number of requests in the present interval of takeAhead,
	// and lastDemand that in the one before.
	demand, lastDemand float64
	demandSince        time.Time
}

// keptFraction returns the part of its share that a holder keeps while it lends the rest.
// VMs that hold none need it as well, to ask the owners that the holders lend to.
func (l *Limiter) keptFraction(burst float64) float64 {
	if len(l.holders) == 0 || burst/float64(len(l.holders))*localFraction < minLocalTokens {
		return 0
	}
	return localFraction
}

// accrue adds the tokens that this VM's part of the share earned. What is lent
// earns for the pool.
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

// minHandover is the part of a token below which none are handed over with a
// loan.
const minHandover = 0.02

// handOver takes out the tokens above what the kept part may hold.
func (p *localBucket) handOver(keep float64) float64 {
	tokens := p.tokens - keep
	if tokens < minHandover {
		return 0
	}
	tokens = math.Floor(tokens*100) / 100 // two digits are sent
	p.tokens -= tokens
	return tokens
}

// countDemand keeps the demand of the last interval.
func (p *localBucket) countDemand(now time.Time, n float64) {
	if now.Sub(p.demandSince) > prefetchInterval {
		p.lastDemand = p.demand
		if now.Sub(p.demandSince) > 2*prefetchInterval {
			p.lastDemand = 0
		}
		p.demand, p.demandSince = 0, now
	}
	p.demand += n
}
