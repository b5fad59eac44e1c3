package logs

import (
	"fmt"
	"time"

	"github.com/phuslu/log"

	"siskintray.example/siskin"
)

// repeatInterval is the time in which one line is written of failures of the
// same sort. An outage of a second fails thousands of requests.
const repeatInterval = time.Second

// RequestLogger writes the lines of requests. Its methods do nothing without a
// logger.
type RequestLogger struct {
	log     *log.Logger
	repeats *Repeats
}

// NewRequestLogger returns a writer of lines to l, which may be nil.
func NewRequestLogger(clock siskin.Clock, l *log.Logger) *RequestLogger {
	return &RequestLogger{log: l, repeats: NewRepeats(clock, repeatInterval)}
}

// Failed writes that a request failed for good: one line a second for each
// message, kind of error, service and route. A failure that the caller caused
// has the level info, any other one the level warn.
func (r *RequestLogger) Failed(q Request, err *siskin.Error, msg string) {
	level := log.WarnLevel
	if callersOwn(err.Kind) {
		level = log.InfoLevel
	}
	if !r.writes(level) {
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

// Panicked writes that a fault of the program ended the work for a request. It is
// not limited, since each one is to be looked into.
func (r *RequestLogger) Panicked(q Request, value any, stack []byte, msg string) {
	if r.log == nil {
		return
	}
	r.entry(q, log.ErrorLevel).Str("Panic", fmt.Sprint(value)).Bytes("Stack", stack).Msg(msg)
}

// Trace writes a step of a request at the level debug. It is meant for finding a
// fault and is not limited; err may be nil.
func (r *RequestLogger) Trace(q Request, err error, msg string) {
	if !r.writes(log.DebugLevel) {
		return
	}
	e := r.entry(q, log.DebugLevel)
	if err != nil {
		e = e.Err(err)
	}
	e.Msg(msg)
}

// writes reports whether lines of a level are written, so that no line is
// formatted in vain.
func (r *RequestLogger) writes(level log.Level) bool { return r.log != nil && Level(r.log) <= level }

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

// callersOwn reports whether the caller can cause errors of the kind at will.
func callersOwn(kind siskin.ErrorKind) bool {
	switch kind {
	case siskin.RateExceeded, siskin.KeyRefused, siskin.KeyWithdrawn, siskin.UnknownRoute, siskin.BadToken,
		siskin.BadInput, siskin.TooLarge, siskin.Unsupported, siskin.TargetRefused:
		return true
	}
	return false
}
