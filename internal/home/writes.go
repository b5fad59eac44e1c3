package home

import (
	"sync"
	"time"
)

// minUnanswered is the number of writes that must be unanswered before a target
// counts as stalled.
const minUnanswered = 2

// refuseWritesAfter is the time without a success after which writes are refused but for
// one, whose answer shows when the target acknowledges again. Each of them would
// hold a place at the target until its caller gives up, and leave it in doubt. A
// slow target answers some write in that time.
const refuseWritesAfter = 400 * time.Millisecond

// writes tells a target that acknowledges no write from a slow one.
type writes struct {
	mu sync.Mutex
	// pending counts writes and commits without an answer.
	pending int
	// lost counts those that were given up since the last success.
	lost int
	// since is the start of the first write without a success after it.
	since time.Time
}

// start counts a write that is about to be sent. The result is false when it must
// not be sent, since the target acknowledges none.
func (w *writes) start(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mustRefuse(now) {
		return false
	}
	w.pending++
	if w.since.IsZero() {
		w.since = now
	}
	return true
}

// wouldRefuse reports whether a write that came now would be wouldRefuse.
func (w *writes) wouldRefuse(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mustRefuse(now)
}

func (w *writes) mustRefuse(now time.Time) bool {
	return w.pending > 0 && w.stallTimeLocked(now) > refuseWritesAfter
}

func (w *writes) end(answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending--
	if !answered {
		w.lost++
		return
	}
	w.lost, w.since = 0, time.Time{}
}

func (w *writes) stallTime(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stallTimeLocked(now)
}

func (w *writes) stallTimeLocked(now time.Time) time.Duration {
	if w.since.IsZero() || w.pending+w.lost < minUnanswered {
		return 0
	}
	return now.Sub(w.since)
}
