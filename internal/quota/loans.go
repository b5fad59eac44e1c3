package quota

import (
	"time"

	"siskintray.example/siskin"
)

// ReleasePools drops the pools of this VM permanently before it stops, so that
// the lenders can lend to other owners at once.
func (l *Limiter) ReleasePools() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released = true
	l.distributeTokens(l.cfg.Clock.Now())
	clear(l.pools)
}

// distributeTokens divides the tokens of this VM's pools among their lenders in
// proportion to their shares. The caller holds mu.
func (l *Limiter) distributeTokens(now time.Time) {
	for id, p := range l.pools {
		rate, burst, ok := l.limits(id)
		if !ok {
			continue
		}
		p.fill(now, rate, burst)
		total := p.share(now)
		for vm, ln := range p.loans {
			if l.toReturn[vm] == nil {
				l.toReturn[vm] = make(Tokens)
			}
			l.toReturn[vm][id] = p.tokens * ln.share / total
		}
	}
}

// TakeReturnedTokens removes and returns the tokens that go back to a lender.
func (l *Limiter) TakeReturnedTokens(to siskin.VMID) Tokens {
	l.mu.Lock()
	defer l.mu.Unlock()
	tokens := l.toReturn[to]
	delete(l.toReturn, to)
	return tokens
}

// Released reports whether ReleasePools was called.
func (l *Limiter) Released() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}

// HandleRelease processes the release of another VM's pools: the shares that
// this VM lent to it can be used again, and its part of the tokens is added to
// its own buckets.
func (l *Limiter) HandleRelease(from siskin.VMID, tokens Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	for id, p := range l.localBuckets {
		if p.owner == from && now.Before(p.loanEnd) {
			if rate, burst, ok := l.limits(id); ok {
				l.accrue(p, now, rate, burst)
			}
			p.loanEnd = now
			p.tokens += tokens[id] // the next fill caps them at the share's burst
		}
	}
	delete(l.stamps, from)
}

// Stamp returns a new stamp that loans to this VM refer to.
func (l *Limiter) Stamp() Stamp { return Stamp{Run: l.cfg.Run, At: l.cfg.Clock.Now().UnixNano()} }

// HandleStamp stores a stamp of another VM. It reports whether no recent stamp
// of that VM's present run was known, so that a loan to it can start at once.
func (l *Limiter) HandleStamp(from siskin.VMID, s Stamp) (first bool) {
	if s.Run == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	old, ok := l.stamps[from]
	l.stamps[from] = receivedStamp{s, now}
	return !ok || old.stamp.Run != s.Run || now.Sub(old.at) > LoanDuration/2
}

// Loans returns the loans to send to a VM with the next ping, or nil when that
// VM owns no pool. The returned shares count as lent from now on.
func (l *Limiter) Loans(to siskin.VMID) *Loans {
	snap := l.cfg.Table.Snapshot()
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshShare(now)
	r, ok := l.stamps[to]
	if !ok || l.share == 0 || now.Sub(r.at) > LoanDuration/2 {
		return nil
	}
	lent := make(map[float64]*LoanPart) // by the fraction kept
	for i := range snap.Customers {
		c := &snap.Customers[i]
		keptFraction := l.keptFraction(float64(c.Burst))
		if !l.recordLoan(c, keptFraction, to, now, r.at.Add(LoanDuration)) {
			continue
		}
		part := lent[keptFraction]
		if part == nil {
			part = &LoanPart{Share: l.share * (1 - keptFraction), Tokens: make(Tokens)}
			lent[keptFraction] = part
		}
		part.Customers = append(part.Customers, c.ID)
		if tokens := l.localBucketOf(c.ID).handOver(float64(c.Burst) * l.share * keptFraction); tokens > 0 {
			part.Tokens[c.ID] = tokens
		}
	}
	if len(lent) == 0 {
		return nil
	}
	loans := &Loans{From: l.cfg.Members.Self().ID, Stamp: r.stamp}
	for _, part := range lent {
		loans.Parts = append(loans.Parts, *part)
	}
	return loans
}

// recordLoan records a loan that ends at until, and reports whether it did. It
// records none when the receiver is not the owner that this VM uses, while a
// loan to another VM is valid, or while the owner may still count a larger
// loan.
func (l *Limiter) recordLoan(c *siskin.CustomerSpec, keptFraction float64, to siskin.VMID, now, until time.Time) bool {
	if owners := l.owners(c.ID, float64(c.Burst), keptFraction); len(owners) == 0 || owners[0] != to {
		return false
	}
	p := l.localBucketOf(c.ID)
	if now.Before(p.loanEnd) && (p.owner != to || keptFraction > p.keptFraction) {
		return false
	}
	l.accrue(p, now, float64(c.Rate), float64(c.Burst))
	if p.owner != to && p.owner != "" {
		p.formerOwner, p.formerOwnerUntil = p.owner, now.Add(LoanDuration)
	}
	p.owner, p.loanEnd, p.keptFraction = to, until, keptFraction
	return true
}

// AcceptLoans adds loans from another VM, or from this one, to the pools.
func (l *Limiter) AcceptLoans(loans *Loans) {
	issued := time.Unix(0, loans.Stamp.At)
	now := l.cfg.Clock.Now()
	if loans.Stamp.Run != l.cfg.Run || now.Sub(issued) > LoanDuration {
		return // for an earlier run of this VM, or expired
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return
	}
	for _, part := range loans.Parts {
		if part.Share <= 0 || part.Share > 1 {
			continue
		}
		for _, id := range part.Customers {
			l.addToPool(now, id, loans.From, loan{part.Share, issued.Add(LoanDuration)}, part.Tokens[id])
		}
	}
}

// addToPool adds a loan and the tokens sent with it to a customer's pool. The
// caller holds mu.
func (l *Limiter) addToPool(now time.Time, id siskin.CustomerID, from siskin.VMID, ln loan, tokens float64) {
	rate, burst, ok := l.limits(id)
	if !ok {
		return
	}
	p := l.pools[id]
	if p == nil {
		p = &pool{loans: make(map[siskin.VMID]loan)}
		l.pools[id] = p
	}
	p.setLoan(now, rate, burst, from, ln)
	// A share holds at most its part of the burst.
	p.tokens += max(0, min(tokens, burst*ln.share))
	p.tokens = min(p.tokens, burst*p.share(now))
}

// LendToSelf lends this VM's shares to the pools that it owns itself.
func (l *Limiter) LendToSelf() {
	self := l.cfg.Members.Self().ID
	l.HandleStamp(self, l.Stamp())
	if loans := l.Loans(self); loans != nil {
		l.AcceptLoans(loans)
	}
}
