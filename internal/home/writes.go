package home

import (
	"sync"
	"time"
)

// minPending is the number of writes that must be unanswered before a target
// counts as stalled.
const minPending = 2

// refuseAfter is the time without a success after which writes are refused but for
// one, whose answer shows when the target acknowledges again. Each of them would
// hold a place at the target until its caller gives up, and leave it in doubt. A
// slow target answers some write in that time.
const refuseAfter = 400 * time.Millisecond

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
	if w.refuse(now) {
		return false
	}
	w.pending++
	if w.since.IsZero() {
		w.since = now
	}
	return true
}

// refused reports whether a write that came now would be refused.
func (w *writes) refused(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refuse(now)
}

func (w *writes) refuse(now time.Time) bool {
	return w.pending > 0 && w.stalledFor(now) > refuseAfter
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

func (w *writes) stalled(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalledFor(now)
}

func (w *writes) stalledFor(now time.Time) time.Duration {
	if w.since.IsZero() || w.pending+w.lost < minPending {
		return 0
	}
	return now.Sub(w.since)
}
