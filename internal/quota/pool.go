package quota

import (
	"math"
	"time"

	"siskintray.example/siskin"
)

// pool is the token bucket of one customer at an owner, made up of the shares
// that are lent to it.
type pool struct {
	loans  map[siskin.VMID]loan
	tokens float64
	at     time.Time // time up to which tokens are added
	queue  classQueue
}

// loan is the share that one VM lends until the given time.
type loan struct {
	share float64
	until time.Time
}

// setLoan adds the loan of a VM, or replaces it if the new one ends later.
func (p *pool) setLoan(now time.Time, rate, burst float64, vm siskin.VMID, l loan) {
	p.fill(now, rate, burst)
	if old, ok := p.loans[vm]; !ok || l.until.After(old.until) {
		p.loans[vm] = l
	}
}

// fill adds the tokens that each loan earned while it was valid, and removes
// expired loans.
func (p *pool) fill(now time.Time, rate, burst float64) {
	if p.at.IsZero() {
		p.at = now
	}
	total := 0.0
	for vm, l := range p.loans {
		end := now
		if l.until.Before(end) {
			end = l.until
		}
		if d := end.Sub(p.at); d > 0 {
			p.tokens += rate * l.share * d.Seconds()
		}
		if now.Before(l.until) {
			total += l.share
		} else {
			delete(p.loans, vm)
		}
	}
	p.at = now
	p.tokens = min(p.tokens, burst*total)
}

// share returns the sum of the valid loans.
func (p *pool) share(now time.Time) float64 {
	total := 0.0
	for _, l := range p.loans {
		if now.Before(l.until) {
			total += l.share
		}
	}
	return total
}

// take removes up to n whole tokens that are not reserved, and returns how many
// it removed.
func (p *pool) take(n, reserved float64) float64 {
	got := max(0, min(n, math.Floor(p.tokens-reserved)))
	p.tokens -= got
	return got
}

// serve answers a request for tokens at the given time.
func (p *pool) serve(now time.Time, args *TakeArgs, rate, burst float64) TakeReply {
	p.fill(now, rate, burst)
	class, share := args.Class.Valid(), p.share(now)
	if !args.Returning {
		p.queue.demand.add(now, class, float64(args.Tokens))
	}
	reserved := p.queue.reserve(now, class, burst*share)
	ahead := 0.0
	if !args.Returning && !p.queue.isOwed(now, class) {
		ahead = p.queue.ahead(now, class)
	}
	if got := p.take(float64(args.Tokens), reserved+ahead); got > 0 {
		p.queue.granted(now, class, got)
		return TakeReply{Tokens: int(got), RetryAfter: retryAfter(rate)}
	}
	p.queue.refused(now, class)
	if share == 0 || rate <= 0 || args.Wait == 0 {
		return TakeReply{RetryAfter: retryAfter(rate)}
	}
	interval := time.Duration(float64(time.Second) / (rate * share))
	ready := max(0, time.Duration((1+reserved-p.tokens)*float64(interval)))
	return p.queue.wait(now, args, ready, interval)
}
