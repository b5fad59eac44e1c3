package home

import (
	"errors"
	"sync"
	"time"

	"siskintray.example/siskin"
)

// minUnanswered is the minimum number of unanswered writes for a target to
// count as stalled.
const minUnanswered = 2

// refuseWritesAfter is the time without a success after which all writes but
// one are refused. The answer to that one shows when the target acknowledges
// writes again. Each other write would hold a slot until its caller times out,
// and end in doubt. A slow target answers some write in that time.
const refuseWritesAfter = 400 * time.Millisecond

// stallMemory is the time after the last failed write after which the earlier
// ones no longer count, since callers of a primary that acknowledges no writes try
// again within it.
const stallMemory = 2 * time.Second

// writes distinguishes a target that acknowledges no writes from a slow one.
type writes struct {
	mu sync.Mutex
	// pending is the number of writes and commits without an answer.
	pending int
	// lost is the number of writes and commits that were given up since the
	// last success.
	lost int
	// since is the start of the first write after the last success, or zero
	// when there is none. lostAt is the end of the last one that was given up.
	since, lostAt time.Time
}

// start counts a write that is about to be sent. When the result is false, the
// write must not be sent, since the target does not acknowledge any.
func (w *writes) start(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mustRefuse(now) {
		return false
	}
	if w.isStale(now) {
		w.lost, w.since = 0, time.Time{}
	}
	w.pending++
	if w.since.IsZero() {
		w.since = now
	}
	return true
}

// wouldRefuse reports whether a write that starts now would be refused.
func (w *writes) wouldRefuse(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mustRefuse(now)
}

func (w *writes) mustRefuse(now time.Time) bool {
	return w.pending > 0 && w.stallTimeLocked(now) > refuseWritesAfter
}

// isStale reports whether what failed is too long ago to count.
func (w *writes) isStale(now time.Time) bool {
	return w.pending == 0 && w.lost > 0 && now.Sub(w.lostAt) > stallMemory
}

func (w *writes) end(answered bool, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending--
	if !answered {
		w.lost++
		w.lostAt = now
		return
	}
	w.lost, w.since = 0, time.Time{}
}

// cancel takes back a write that was counted and not sent.
func (w *writes) cancel() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending--
	if w.pending == 0 && w.lost == 0 {
		w.since = time.Time{}
	}
}

// finish counts the end of a write of which the exchange returned err.
func (w *writes) finish(answered bool, err error, now time.Time) {
	if errors.Is(err, siskin.ErrUnsendable) {
		w.cancel()
		return
	}
	w.end(answered, now)
}

func (w *writes) stallTime(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stallTimeLocked(now)
}

func (w *writes) stallTimeLocked(now time.Time) time.Duration {
	if w.since.IsZero() || w.pending+w.lost < minUnanswered || w.isStale(now) {
		return 0
	}
	return now.Sub(w.since)
}
