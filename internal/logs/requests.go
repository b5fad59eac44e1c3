package logs

import (
	"fmt"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
)

// repeatInterval is the minimum time between two lines about failures with the
// same key. An outage of one second fails thousands of requests.
const repeatInterval = time.Second

// RequestLogger writes log lines about requests. Its methods do nothing if the
// logger is nil.
type RequestLogger struct {
	log     *log.Logger
	repeats *RepeatLimiter
}

// NewRequestLogger returns a RequestLogger that writes to l, which may be nil.
func NewRequestLogger(clock siskin.Clock, l *log.Logger) *RequestLogger {
	return &RequestLogger{log: l, repeats: NewRepeatLimiter(clock, repeatInterval)}
}

// Failed logs that a request failed and is not retried: at most one line per
// second for each message, error kind, service and route. The level is info for
// a failure that the caller can cause, and warn for any other.
func (r *RequestLogger) Failed(q Request, err *siskin.Error, msg string) {
	level := log.WarnLevel
	if causedByCaller(err.Kind) {
		level = log.InfoLevel
	}
	if !r.enabled(level) {
		return
	}
	suppressed, ok := r.repeats.Allow(msg + "/" + err.Kind.String() + "/" + string(q.Service) + "/" + string(q.Route))
	if !ok {
		return
	}
	e := r.entry(q, level).Str("Kind", err.Kind.String()).Err(err)
	if suppressed > 0 {
		e = e.Int64("Suppressed", suppressed)
	}
	e.Msg(msg)
}

// Panicked logs that a panic ended the processing of a request. It is not
// rate limited, since each panic is a bug to investigate.
func (r *RequestLogger) Panicked(q Request, value any, stack []byte, msg string) {
	if r.log == nil {
		return
	}
	r.entry(q, log.ErrorLevel).Str("Panic", fmt.Sprint(value)).Bytes("Stack", stack).Msg(msg)
}

// Trace logs a step of a request at level debug. It is meant for debugging and is
// not rate limited; err may be nil.
func (r *RequestLogger) Trace(q Request, err error, msg string) {
	if !r.enabled(log.DebugLevel) {
		return
	}
	e := r.entry(q, log.DebugLevel)
	if err != nil {
		e = e.Err(err)
	}
	e.Msg(msg)
}

// enabled reports whether lines of a level are written. It avoids formatting
// lines that would be discarded.
func (r *RequestLogger) enabled(level log.Level) bool { return r.log != nil && Level(r.log) <= level }

func (r *RequestLogger) entry(q Request, level log.Level) *log.Entry {
	l := r.log
	if q.ID != 0 {
		l = ForRequest(l, RequestID(q.ID))
	}
	e := l.WithLevel(level)
	for _, f := range [...][2]string{
		{"Service", string(q.Service)},
		{"Route", string(q.Route)},
		{"Customer", string(q.Customer)},
		{"Target", string(q.Target)},
		{"Home", string(q.Home)},
	} {
		if f[1] != "" {
			e = e.Str(f[0], f[1])
		}
	}
	return e
}

// causedByCaller reports whether the caller can cause errors of the kind at will.
func causedByCaller(kind siskin.ErrorKind) bool {
	switch kind {
	case siskin.RateExceeded, siskin.KeyRefused, siskin.KeyWithdrawn, siskin.UnknownRoute, siskin.BadToken,
		siskin.BadInput, siskin.TooLarge, siskin.Unsupported, siskin.TargetRefused:
		return true
	}
	return false
}
