package home

import (
	"sync"
	"time"
)

// minPending is the number of writes that must be unanswered before a target
// counts as stalled.
const minPending = 2

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

func (w *writes) start(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending++
	if w.since.IsZero() {
		w.since = now
	}
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
	if w.since.IsZero() || w.pending+w.lost < minPending {
		return 0
	}
	return now.Sub(w.since)
}
