package lease

import (
	"sync"
	"time"

	"siskintray.example/siskin"
)

const (
	// TTL is the validity of evidence of unclaimed replicas, from the moment
	// before the query was sent. Commits of ordinary traffic renew it.
	TTL = 400 * time.Millisecond
	// RenewAfter is the age of the evidence at which a lease in use is renewed.
	RenewAfter = TTL / 2
	// PromotionDelay is the time from the last claim of a change to its
	// promotion. It exceeds TTL because the rates of two clocks may differ.
	PromotionDelay = TTL + TTL/10
	// MinTrustedUptime is the uptime from which a replica's state counts as
	// evidence, unless it was already running at the last evidence. A replica
	// that restarts has lost its claim, while the promotion of that change may
	// still take effect: claims are checked up to 0.5 s before a promotion is
	// ordered, platforms that check fencing tokens carry out an order without
	// an answer up to 12 s later and within 1.1 s, and the order may be in
	// transit for a call timeout of 0.7 s. The rest is a margin for clocks that
	// run fast.
	MinTrustedUptime = 16 * time.Second
)

// entry is the lease on one target.
type entry struct {
	// term is the term in which the target is primary.
	term siskin.Term
	// asked is the moment before the query that showed unclaimed replicas.
	asked time.Time
}

// Leases holds the leases of one VM. It is safe for concurrent use.
type Leases struct {
	mu      sync.Mutex
	entries map[siskin.TargetID]entry
}

// New returns an empty set of leases.
func New() *Leases { return &Leases{entries: make(map[siskin.TargetID]entry)} }

// Renew records that replicas of the target, the primary of the given term,
// were unclaimed at a moment after asked. Evidence of an earlier term is
// ignored.
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

// Covers reports whether a lease covers a commit of the given term that was
// acknowledged before now.
func (l *Leases) Covers(id siskin.TargetID, term siskin.Term, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	return ok && e.covers(term, now)
}

// Extend renews a lease with a commit of the given term that was sent at asked
// and acknowledged before now, and that enough replicas have received. It
// reports whether a lease covers the commit at now. A claimed replica that
// restarted may have acknowledged the commit, so a commit alone is no evidence:
// the change that had claimed the replica detects the lost claim before it orders
// the promotion, which happens no earlier than the end of the lease.
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

// covers reports whether no promotion that supersedes the given term was
// ordered before now.
func (e entry) covers(term siskin.Term, now time.Time) bool {
	return e.term == term && now.Sub(e.asked) < TTL
}

// Trusted reports whether a replica's state, queried at asked, counts as
// evidence for a target that is primary in the given term. The replica has been
// running since started, and must not have lost a claim that may still lead to
// a promotion. It has not if its uptime is at least minUptime or it was running
// at the last evidence.
func (l *Leases) Trusted(id siskin.TargetID, term siskin.Term, started, asked time.Time, minUptime time.Duration) bool {
	if asked.Sub(started) >= minUptime {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	return ok && e.term == term && !started.After(e.asked)
}

// Valid reports whether the target is the only primary at the given moment,
// which must not lie in the future.
func (l *Leases) Valid(id siskin.TargetID, now time.Time) bool {
	return l.Age(id, now) < TTL
}

// Age returns the age of the newest evidence. It is TTL or more if there is no
// valid evidence.
func (l *Leases) Age(id siskin.TargetID, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[id]
	if !ok {
		return TTL
	}
	return now.Sub(e.asked)
}

// Term returns the newest term in which the target is known to have been
// primary, or zero.
func (l *Leases) Term(id siskin.TargetID) siskin.Term {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[id].term
}

// Forget removes the lease on a target that no longer exists.
func (l *Leases) Forget(id siskin.TargetID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, id)
}
