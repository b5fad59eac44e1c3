// Package logs provides the structured loggers of the program.
package logs

import (
	"io"
	"sync"

	"github.com/phuslu/log"
)

// RequestIDField is the log field that holds the request id.
const RequestIDField = "RequestID"

// New returns a logger that writes lines at or above level ("debug", "info",
// "warn", "error") to w: as human-readable text if format is "text", else as
// JSON.
func New(level, format string, w io.Writer) *log.Logger {
	out := &lockedWriter{w: w}
	filter := &levelFilter{next: log.IOWriter{Writer: &validWriter{out}}}
	if format == "text" {
		filter.next = &log.ConsoleWriter{Writer: out, QuoteString: true, EndWithMessage: false}
	}
	l := &log.Logger{Level: log.DebugLevel, TimeField: "time", Writer: filter}
	SetLevel(l, level)
	return l
}

// SetLevel changes the level of a logger returned by New and of the loggers that
// ForRequest derived from it. They may be in use. Other loggers are unchanged.
func SetLevel(l *log.Logger, level string) {
	if w, ok := l.Writer.(*levelFilter); ok {
		w.level.Store(uint32(log.ParseLevel(level)))
	}
}

// Level returns the minimum level at which the logger writes lines.
func Level(l *log.Logger) log.Level {
	if w, ok := l.Writer.(*levelFilter); ok {
		return log.Level(w.level.Load())
	}
	return l.Level
}

// ForRequest returns a copy of l that adds the request id to each line.
func ForRequest(l *log.Logger, id string) *log.Logger {
	c := &log.Logger{Level: l.Level, TimeField: l.TimeField, Writer: l.Writer}
	c.Context = append(append(log.Context{}, l.Context...), log.NewContext(nil).Str(RequestIDField, id).Value()...)
	return c
}

// lockedWriter serializes writes, so that concurrent lines are not interleaved
// on writers such as pipes and buffers.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}
