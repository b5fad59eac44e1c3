package home

import (
	"context"
	"time"
)

// minColdWait is the least time between two questions for the rate of cold targets.
const minColdWait = 5 * time.Millisecond

// awaitAdmission reports whether a statement may be sent to a target now, on a connection
// that was opened at a time. A cold target gets few; the statement waits for its turn
// until the given time.
func (h *Homes) awaitAdmission(l *pool, opened, until time.Time) (ok bool, retryAfter time.Duration) {
	if h.cfg.MayBeCold == nil {
		return true, 0
	}
	l.mu.Lock()
	info, failed := l.info, l.lastFailure(opened)
	l.mu.Unlock()
	if !h.cfg.MayBeCold(info, l.created, failed) {
		return true, 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(0, until.Sub(h.cfg.Clock.Now())))
	defer cancel()
	for {
		adm := h.cfg.AdmitCold(ctx, info.Service)
		if adm.Admitted {
			return true, 0
		}
		pause := max(adm.RetryAfter, minColdWait)
		if h.cfg.Clock.Now().Add(pause).After(until) {
			return false, pause
		}
		h.cfg.Clock.Sleep(pause)
	}
}

// recordFailure notes that the target may have ended and start again, cold.
func (l *pool) recordFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedAt = l.clock.Now()
}

// recordReport notes that another home could not reach the target. A home without a
// connection to it sees no failure when it starts again.
func (l *pool) recordReport() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedAt = l.clock.Now()
}

// lastFailure returns when the target failed last, as far as it may have started again
// before a connection was opened. A report counts from the opening of the connection
// at the latest: a later start would have broken it, and reports are repeated for as
// long as the other home is cut off from a target that runs. The caller holds mu.
func (l *pool) lastFailure(opened time.Time) time.Time {
	reportedAt := l.reportedAt
	if opened.Before(reportedAt) {
		reportedAt = opened
	}
	if reportedAt.After(l.failedAt) {
		return reportedAt
	}
	return l.failedAt
}

// waitFor is the longest time that a statement waits where it holds up others.
func (r *Request) waitFor() time.Duration {
	if r.AcquireTimeout > 0 {
		return r.AcquireTimeout
	}
	return r.QueueTimeout
}
