// Package logs sets up the structured log of a program.
package logs

import (
	"io"
	"sync"

	"github.com/phuslu/log"
)

// RequestField is the field that ties the lines of one request together.
const RequestField = "RequestID"

// New returns a logger that writes lines at or above level ("debug", "info",
// "warn", "error") to w, as JSON or, with format "text", for reading.
func New(level, format string, w io.Writer) *log.Logger {
	out := &lockedWriter{w: w}
	l := &log.Logger{Level: log.ParseLevel(level), TimeField: "time", Writer: log.IOWriter{Writer: out}}
	if format == "text" {
		l.Writer = &log.ConsoleWriter{Writer: out, QuoteString: true, EndWithMessage: false}
	}
	return l
}

// SetLevel changes the level of a logger in use, such as at a reload.
func SetLevel(l *log.Logger, level string) { l.SetLevel(log.ParseLevel(level)) }

// ForRequest returns a logger whose lines carry the request id.
func ForRequest(l *log.Logger, id string) *log.Logger {
	c := &log.Logger{Level: l.Level, TimeField: l.TimeField, Writer: l.Writer}
	c.Context = append(append(log.Context{}, l.Context...), log.NewContext(nil).Str(RequestField, id).Value()...)
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
