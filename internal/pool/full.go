package pool

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"siskintray.example/siskin"
)

// stateTooMany is the SQLSTATE of a target whose slot is full.
const stateTooMany = "53300"

// maxFull is how long a request waits for a slot that the target calls full. A
// target may count a connection for a moment after its end, and the previous
// owner of the slot may still finish its requests. The time counts from the
// arrival of the request: openings ahead of demand may have failed before.
const maxFull = time.Second

func isFull(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e) && e.Code == stateTooMany
}

// openingFull handles an opening that the target refused because it counts
// other connections in the slot. The target answers, so it is neither suspected
// nor called unreachable. The caller holds mu.
func (s *slot) openingFull(account Account) {
	now := s.pool.clock.Now()
	s.failures, s.lastErr = 0, nil
	delay := s.backoff().Delay(1, rand.Int64N)
	s.nextOpen = now.Add(delay)
	if s.has(account) == 0 {
		s.failWaiters(account, now.Add(-maxFull), siskin.NewError(siskin.Overloaded, "slot %d of target %s is full", s.key.Slot, s.key.Target).
			WithRemedy("repeat the request later").WithRetryAfter(maxFull))
	}
	s.pool.start(s.pool.openers, func() { s.openLater(delay) })
}

// openLater opens missing connections after a delay.
func (s *slot) openLater(delay time.Duration) {
	select {
	case <-s.pool.clock.After(delay):
	case <-s.pool.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ensure()
}
