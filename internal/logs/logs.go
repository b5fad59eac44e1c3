// Package logs sets up the structured log of a program.
package logs

import (
	"io"
	"sync"

	"github.com/phuslu/log"
)

// RequestIDField is the field that ties the lines of one request together.
const RequestIDField = "RequestID"

// New returns a logger that writes lines at or above level ("debug", "info",
// "warn", "error") to w, as JSON or, with format "text", for reading.
func New(level, format string, w io.Writer) *log.Logger {
	out := &lockedWriter{w: w}
	filter := &leveled{next: log.IOWriter{Writer: out}}
	if format == "text" {
		filter.next = &log.ConsoleWriter{Writer: out, QuoteString: true, EndWithMessage: false}
	}
	l := &log.Logger{Level: log.DebugLevel, TimeField: "time", Writer: filter}
	SetLevel(l, level)
	return l
}

// SetLevel changes the level of a logger that New returned, which may be in use,
// and of those that ForRequest made of it. It does nothing to other loggers.
func SetLevel(l *log.Logger, level string) {
	if w, ok := l.Writer.(*leveled); ok {
		w.level.Store(uint32(log.ParseLevel(level)))
	}
}

// Level returns the lowest level that the logger writes.
func Level(l *log.Logger) log.Level {
	if w, ok := l.Writer.(*leveled); ok {
		return log.Level(w.level.Load())
	}
	return l.Level
}

// ForRequest returns a logger whose lines carry the request id.
func ForRequest(l *log.Logger, id string) *log.Logger {
	c := &log.Logger{Level: l.Level, TimeField: l.TimeField, Writer: l.Writer}
	c.Context = append(append(log.Context{}, l.Context...), log.NewContext(nil).Str(RequestIDField, id).Value()...)
	return c
}

// lockedWriter keeps lines whole, since writers such as pipes and buffers do
// not.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}
