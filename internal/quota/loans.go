package quota

import (
	"time"

	"siskintray.example/siskin"
)

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
