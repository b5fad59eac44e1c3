package quota

import (
	"math"
	"time"

	"siskintray.example/siskin"
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
	// former held the loan before owner, and may have tokens until formerUntil,
	// while the loans of other lenders last.
	former      siskin.VMID
	formerUntil time.Time
	// asked is the owner that this VM asked first the last time.
	asked siskin.VMID
	// kept is the part of the share that was not lent with that loan.
	kept float64
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

// kept returns the part of its share that a holder keeps while it lends the rest.
// VMs that hold none need it as well, to ask the owners that the holders lend to.
func (l *Limiter) kept(burst float64) float64 {
	if len(l.holders) == 0 || burst/float64(len(l.holders))*ownPart < minOwnTokens {
		return 0
	}
	return ownPart
}

// earn adds the tokens that this VM's part of the share earned. What is lent
// earns for the pool.
func (l *Limiter) earn(p *local, now time.Time, rate, burst float64) {
	if p.at.Before(p.lent) {
		lentUntil := p.lent
		if now.Before(lentUntil) {
			lentUntil = now
		}
		p.fill(lentUntil, rate*l.share*p.kept, burst*l.share*p.kept)
	}
	if !now.Before(p.lent) {
		p.fill(now, rate*l.share, burst*l.share)
	}
}

// leastTokens is the part of a token below which none are handed over with a
// loan.
const leastTokens = 0.02

// handOver takes out the tokens above what the kept part may hold.
func (p *local) handOver(keep float64) float64 {
	tokens := p.tokens - keep
	if tokens < leastTokens {
		return 0
	}
	tokens = math.Floor(tokens*100) / 100 // two digits are sent
	p.tokens -= tokens
	return tokens
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
