package entry

import (
	"sync/atomic"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// successLinesPerSecond and failureLines bound the lines of requests a second and
	// VM. A VM of today's size carries some 60 requests a second in all.
	successLinesPerSecond = 150
	failureLinesPerSecond = 150
	// lineBurst is the number of lines that may come at once.
	lineBurst = 300
)

// logLimiter bounds the logLimiter of requests, apart for successes and failures, so that
// a flood of one hides none of the other.
type logLimiter struct {
	success, failure *rate.Limiter
	// suppressed counts the lines left out since the last one.
	suppressed atomic.Int64
}

func newLogLimiter() *logLimiter {
	return &logLimiter{success: rate.NewLimiter(successLinesPerSecond, lineBurst), failure: rate.NewLimiter(failureLinesPerSecond, lineBurst)}
}

// next returns an entry for a request's line and how many were left out before
// it, or says to write none.
func (l *logLimiter) next(to *log.Logger, success bool) (e *log.Entry, suppressed int64, ok bool) {
	limiter := l.failure
	if success {
		limiter = l.success
	}
	if !limiter.Allow() {
		l.suppressed.Add(1)
		return nil, 0, false
	}
	if e = to.Warn(); success {
		e = to.Info()
	}
	return e, l.suppressed.Swap(0), true
}
