package entry

import (
	"sync/atomic"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// successLinesPerSecond and failureLinesPerSecond limit the log lines for
	// requests at one VM. A VM of today's size carries some 60 requests a
	// second in all.
	successLinesPerSecond = 150
	failureLinesPerSecond = 150
	// lineBurst is the number of lines that may be written at once.
	lineBurst = 300
)

// logLimiter limits the log lines for requests, separately for successes and
// failures, so that a flood of one does not suppress the other.
type logLimiter struct {
	success, failure *rate.Limiter
	// suppressed counts the lines dropped since the last one was written.
	suppressed atomic.Int64
}

func newLogLimiter() *logLimiter {
	return &logLimiter{success: rate.NewLimiter(successLinesPerSecond, lineBurst), failure: rate.NewLimiter(failureLinesPerSecond, lineBurst)}
}

// next returns a log entry for a request and the number of lines dropped
// before it. ok is false if this line is to be dropped too.
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
