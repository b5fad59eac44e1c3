package entry

import (
	"sync/atomic"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	// successLines and failureLines bound the lines of requests a second and
	// VM. A VM of today's size carries some 60 requests a second in all.
	successLines = 150
	failureLines = 150
	// lineBurst is the number of lines that may come at once.
	lineBurst = 300
)

// lines bounds the lines of requests, apart for successes and failures, so that
// a flood of one hides none of the other.
type lines struct {
	success, failure *rate.Limiter
	// suppressed counts the lines left out since the last one.
	suppressed atomic.Int64
}

func newLines() *lines {
	return &lines{success: rate.NewLimiter(successLines, lineBurst), failure: rate.NewLimiter(failureLines, lineBurst)}
}

// next returns an entry for a request's line and how many were left out before
// it, or says to write none.
func (l *lines) next(to *log.Logger, success bool) (e *log.Entry, suppressed int64, ok bool) {
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
