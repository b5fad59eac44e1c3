package pool

import (
	"context"
	"math/rand/v2"
	"time"

	"siskintray.example/siskin/pkg/retry"
)

// ensure opens connections for the waiters and ahead of demand. The caller
// holds mu.
func (s *slot) ensure() {
	if s.draining || s.pool.ctx.Err() != nil {
		return
	}
	if s.pool.clock.Now().Before(s.nextOpen) {
		return
	}
	for account := range Account(accounts) {
		for s.wanted(account) > 0 && s.opening[Full]+s.opening[ReadOnly] < s.openingLimit() {
			if s.open() >= s.cfg.Limit && !s.evict(account) {
				break
			}
			s.startOpening(account)
		}
	}
}

func (s *slot) startOpening(account Account) {
	s.opening[account]++
	s.pool.start(s.pool.openers, func() { s.openOne(account) })
}

// openingLimit lets one opening test a target that failed before the others
// follow.
func (s *slot) openingLimit() int {
	if s.failures > 0 {
		return 1
	}
	return maxOpening
}

// wanted returns the number of connections to open for an account: one for each
// waiter, and spare ones ahead of demand, a quarter of those in use.
func (s *slot) wanted(account Account) int {
	waiting, open, busy := 0, s.count[account], s.busy[account]
	for _, w := range s.waiters {
		if w.account == account {
			waiting++
		}
	}
	spare := max(warmFloor-open, 0)
	if busy > 0 {
		spare = max(spare, 1+busy/4-(open-busy))
	}
	need := waiting - s.opening[account]
	if s.open() < s.cfg.Limit {
		need = max(need, waiting+spare-s.opening[account])
	}
	return need
}

// evict closes an idle connection of the other account when the slot is full
// and a request waits for this account.
func (s *slot) evict(account Account) bool {
	other := s.idle[1-account]
	if len(other) == 0 {
		return false
	}
	waiting := false
	for _, w := range s.waiters {
		waiting = waiting || w.account == account
	}
	if waiting {
		s.removeLocked(other[0])
	}
	return waiting
}

func (s *slot) openOne(account Account) {
	s.mu.Lock()
	cfg, generation := s.cfg, s.generation
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.pool.ctx, cfg.dialTimeout())
	defer cancel()
	o, err := s.pool.dialer.Dial(ctx, s.key, cfg, account)
	if err != nil {
		s.openFailed(account, err)
		return
	}
	s.mu.Lock()
	s.opening[account]--
	c := newConn(s, account, o, s.pool.clock.Now())
	c.generation, c.state = generation, connResetting
	s.conns[c] = struct{}{}
	s.count[account]++
	s.failures, s.lastErr, s.nextOpen, s.fullSince = 0, nil, time.Time{}, time.Time{}
	s.stats.opened++
	s.mu.Unlock()
	s.put(c)
}

func (s *slot) openFailed(account Account, err error) {
	s.mu.Lock()
	s.opening[account]--
	s.stats.failed++
	full := s.noteFull(err)
	if !full {
		s.failures++
		s.lastErr = err
	}
	b := retry.Backoff{Base: max(s.cfg.OpenTime, 10*time.Millisecond), Max: maxBackoff}
	delay := b.Delay(max(s.failures, 1), rand.Int64N)
	s.nextOpen = s.pool.clock.Now().Add(delay)
	if s.has(account) == 0 && !full {
		s.failWaiters(account, s.unreachable())
	}
	s.checkDrained()
	s.mu.Unlock()
	if full {
		s.pool.start(s.pool.openers, func() { s.openLater(delay) })
		return
	}
	if s.pool.onFailure != nil && s.pool.ctx.Err() == nil {
		s.pool.onFailure(s.key.Target, err)
	}
}
