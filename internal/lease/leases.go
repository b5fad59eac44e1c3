package lease

import (
	"sync"
	"time"

	"siskintray.example/siskin"
)

const (
	// TTL is the time for which evidence of unclaimed replicas counts, from the
	// moment before the question. Commits of ordinary traffic renew it.
	TTL = 400 * time.Millisecond
	// RenewAfter is the age of the evidence at which a lease in use is renewed.
	RenewAfter = TTL / 2
	// PromotionDelay is the time from the last claim of a change to its promotion. It is
	// longer than Life, since the rates of two clocks may differ.
	PromotionDelay = TTL + TTL/10
	// MinTrustedUptime is the time for which a replica must have run before its state
	// counts, unless it ran at the last evidence already. One that starts again has
	// forgotten a claim, and the promotion of that change may still take effect: claims
	// are looked at up to 0.5 s before an order, platforms that check fences carry out
	// one without an answer up to 12 s later and within 1.1 s, and the order may be on
	// its way for a call's time-out of 0.7 s. The rest is for clocks that run fast.
	MinTrustedUptime = 16 * time.Second
)

// entry is a lease of the lead of one target.
type entry struct {
	// term is the term that the target leads.
	term siskin.Term
	// asked is the moment before the question that showed unclaimed replicas.
	asked time.Time
}

// Leases holds the leases of one VM. It is safe for concurrent use.
type Leases struct {
	mu      sync.Mutex
	entries map[siskin.TargetID]entry
}

// New returns Leases without any.
func New() *Leases { return &Leases{entries: make(map[siskin.TargetID]entry)} }

// Renew takes over evidence that replicas of the target, the primary of the
// given term, were unclaimed at a moment after asked. Evidence of an earlier term
// is left out.
func (l *Leases) Renew(id siskin.TargetID, term siskin.Term, asked time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	switch {
	case term < e.term:
		return
	case term > e.term:
		e = entry{term: term, asked: asked}
	case asked.After(e.asked):
		e.asked = asked
	}
	l.entries[id] = e
}

// Extend takes over a commit of the given term that was asked for at one moment and
// acknowledged before another, now, at which a lease covers it. A claimed replica
// that started again may have acknowledged it, so a commit alone is no evidence:
// the change that had claimed the replica finds that claim lost before its order,
// which it sends no earlier than the end of the lease.
func (l *Leases) Extend(id siskin.TargetID, term siskin.Term, asked, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok || !e.covers(term, now) {
		return false
	}
	if asked.After(e.asked) {
		e.asked = asked
		l.entries[id] = e
	}
	return true
}

// covers reports whether no promotion over the given term was ordered before now.
func (e entry) covers(term siskin.Term, now time.Time) bool {
	return e.term == term && now.Sub(e.asked) < TTL
}

// Trusted reports whether a replica's state, asked for at a moment, may count as
// evidence for a target that leads the given term: the replica has run since started
// and has forgotten no claim that may still lead to a promotion. It has not when it
// has run for the time after.
func (l *Leases) Trusted(id siskin.TargetID, term siskin.Term, started, asked time.Time, minUptime time.Duration) bool {
	if asked.Sub(started) >= minUptime {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	return ok && e.term == term && !started.After(e.asked)
}

// Valid reports whether the target is the only primary at the given moment, which
// must not lie in the future.
func (l *Leases) Valid(id siskin.TargetID, now time.Time) bool {
	return l.Age(id, now) < TTL
}

// Age returns the age of the newest evidence, Life or more when there is none
// that counts.
func (l *Leases) Age(id siskin.TargetID, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok {
		return TTL
	}
	return now.Sub(e.asked)
}

// Term returns the newest term in which the target is known to have led, zero
// when none is.
func (l *Leases) Term(id siskin.TargetID) siskin.Term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[id].term
}

// Forget drops what is known of a target that is gone.
func (l *Leases) Forget(id siskin.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, id)
}
