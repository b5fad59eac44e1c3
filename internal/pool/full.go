package pool

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"siskintray.example/siskin"
)

// sqlstateTooMany is the SQLSTATE of a target whose slot is full.
const sqlstateTooMany = "53300"

// maxFullWait is the maximum wait of a request for a slot that the target
// reports as full. A target may count a connection for a moment after it ended,
// and the previous owner of the slot may still finish its requests. The wait
// counts from the arrival of the request, since openings ahead of demand may
// have failed before.
const maxFullWait = time.Second

func isSlotFull(err error) bool {
	var e *pgconn.PgError
	return errors.As(err, &e) && e.Code == sqlstateTooMany
}

// handleSlotFull handles an opening that the target refused because it counts
// other connections in the slot. The target answers, so no failure is reported
// and it does not count as unreachable. The caller holds mu.
func (s *slot) handleSlotFull(account Account) {
	now := s.pool.clock.Now()
	s.failures, s.lastErr = 0, nil
	delay := s.backoff().Delay(1, rand.Int64N)
	s.nextOpen = now.Add(delay)
	if s.accountSize(account) == 0 {
		s.failWaiters(account, now.Add(-maxFullWait), siskin.NewError(siskin.Overloaded, "slot %d of target %s is full", s.key.Slot, s.key.Target).
			WithRemedy("repeat the request later").WithRetryAfter(maxFullWait))
	}
	s.pool.start(s.pool.openers, func() { s.openMissingAfter(delay) })
}

// openMissingAfter opens missing connections after a delay.
func (s *slot) openMissingAfter(delay time.Duration) {
	select {
	case <-s.pool.clock.After(delay):
	case <-s.pool.ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openMissing()
}
