package pool

import (
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

// stateTooMany is the SQLSTATE of a target whose slot is full.
const stateTooMany = "53300"

// maxFull is how long requests wait for a slot that the target calls full. A
// target may count a connection for a moment after its end, and the previous
// owner of the slot may still finish its requests.
const maxFull = time.Second

// noteFull reports whether an opening failed only because the target counts
// other connections in the slot, and has not done so for long. The caller holds
// mu.
func (s *slot) noteFull(err error) bool {
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Code != stateTooMany {
		s.fullSince = time.Time{}
		return false
	}
	now := s.pool.clock.Now()
	if s.fullSince.IsZero() {
		s.fullSince = now
	}
	return now.Sub(s.fullSince) < maxFull
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
