package pool

import (
	"math/rand/v2"
	"time"

	"siskintray.example/siskin/pkg/retry"
)

// openMissing opens connections for the waiters and ahead of demand. The caller
// holds mu.
func (s *slot) openMissing() {
	if s.draining || s.pool.ctx.Err() != nil {
		return
	}
	if s.pool.clock.Now().Before(s.nextOpen) {
		return
	}
	// Waiters of both accounts come first: a connection opened ahead of demand
	// for one account must not use up the limit that a waiter of the other
	// account needs.
	for account := range Account(numAccounts) {
		s.openWanted(account, s.waiterCount)
	}
	for account := range Account(numAccounts) {
		s.openWanted(account, s.openingsWanted)
	}
}

// openWanted starts openings until the wanted number is in progress.
func (s *slot) openWanted(account Account, wanted func(Account) int) {
	for wanted(account) > s.opening[account] && s.opening[Full]+s.opening[ReadOnly] < s.openingLimit() {
		if s.size() >= s.cfg.Limit && !s.evict(account) {
			return
		}
		s.startOpening(account)
	}
}

func (s *slot) startOpening(account Account) {
	s.opening[account]++
	s.pool.start(s.pool.openers, func() { s.openConn(account) })
}

// openingLimit returns the maximum number of concurrent openings. After a
// failure, a single opening tests the target first.
func (s *slot) openingLimit() int {
	if s.failures > 0 {
		return 1
	}
	return maxOpening
}

// waiterCount returns the number of waiters of an account.
func (s *slot) waiterCount(account Account) int {
	n := 0
	for _, w := range s.waiters {
		if w.account == account {
			n++
		}
	}
	return n
}

// openingsWanted returns the number of openings that an account should have in
// progress: one for each waiter, plus spare connections ahead of demand, a
// quarter of those in use.
func (s *slot) openingsWanted(account Account) int {
	open, busy := s.count[account], s.busy[account]
	spare := max(s.minOpen(account)-open, 0)
	if busy > 0 {
		spare = max(spare, 1+busy/4-(open-busy-s.reservedCount(account)))
	}
	need := s.waiterCount(account)
	if s.size() < s.cfg.Limit {
		need += max(spare, 0)
	}
	return need
}

// evict closes an idle connection of the other account if the slot is at its
// limit and a request waits for this account.
func (s *slot) evict(account Account) bool {
	other := s.idle[1-account]
	if len(other) == 0 {
		return false
	}
	if s.waiterCount(account) == 0 {
		return false
	}
	s.removeLocked(other[0])
	return true
}

func (s *slot) openConn(account Account) {
	s.mu.Lock()
	cfg, generation, writerGeneration := s.cfg, s.generation, s.writerGeneration
	s.mu.Unlock()
	o, err := s.dial(cfg, account)
	if err != nil {
		s.openFailed(account, err)
		return
	}
	s.mu.Lock()
	s.opening[account]--
	c := newConn(s, account, o, s.pool.clock.Now())
	c.generation, c.writerGeneration, c.state = generation, writerGeneration, connResetting
	s.conns[c] = struct{}{}
	s.count[account]++
	s.failures, s.lastErr, s.nextOpen = 0, nil, time.Time{}
	s.stats.opened++
	s.mu.Unlock()
	s.put(c)
}

func (s *slot) openFailed(account Account, err error) {
	s.mu.Lock()
	s.opening[account]--
	s.stats.failed++
	full := isSlotFull(err)
	if full {
		s.handleSlotFull(account)
	} else {
		s.handleOpenError(account, err)
	}
	s.checkDrained()
	s.mu.Unlock()
	if !full && s.pool.onFailure != nil && s.pool.ctx.Err() == nil {
		s.pool.onFailure(s.key.Target, err)
	}
}

// handleOpenError handles an opening that failed for a reason other than a full
// slot. The caller holds mu.
func (s *slot) handleOpenError(account Account, err error) {
	s.failures++
	s.lastErr = err
	now := s.pool.clock.Now()
	s.nextOpen = now.Add(s.backoff().Delay(s.failures, rand.Int64N))
	if s.accountSize(account) == 0 {
		s.failWaiters(account, now, s.unreachableError())
	}
}

func (s *slot) backoff() retry.Backoff {
	return retry.Backoff{Base: max(s.cfg.OpenTime, 10*time.Millisecond), Max: maxBackoff}
}
