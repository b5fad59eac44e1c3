package home

import (
	"context"
	"time"
)

// minColdWait is the minimum time between two requests for admission to a cold
// target.
const minColdWait = 5 * time.Millisecond

// awaitAdmission reports whether a statement may be sent to a target on a
// connection that was opened at the given time. Statements to a cold target are
// rate-limited; it waits for admission until the given time, and returns the
// time after which to retry when it fails.
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

// recordFailure records that the target may have restarted and be cold.
func (l *pool) recordFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedAt = l.clock.Now()
}

// recordReport records that another home could not reach the target. A home
// without a connection to the target does not see a failure when it restarts.
func (l *pool) recordReport() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedAt = l.clock.Now()
}

// lastFailure returns the last failure after which the target may have
// restarted before the connection was opened. A report counts as made no later
// than the opening of the connection: a later restart would have broken it, and
// reports are repeated for as long as the other home cannot reach a target that
// runs. The caller holds mu.
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

// waitFor returns the maximum time for which a statement waits while it holds a
// slot that others wait for.
func (r *Request) waitFor() time.Duration {
	if r.AcquireTimeout > 0 {
		return r.AcquireTimeout
	}
	return r.QueueTimeout
}
