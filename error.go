package siskin

import (
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Error is an error with a kind and a remedy for the receiver.
type Error struct {
	Kind    ErrorKind
	Message string
	// Remedy is one sentence that tells the receiver what to do.
	Remedy string
	// RetryAfter is the time to wait before a retry; zero when unknown.
	RetryAfter time.Duration

	cause error
}

// NewError returns an error of the given kind. The format follows fmt.Sprintf.
func NewError(kind ErrorKind, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...)}
}

// WithRemedy sets the remedy and returns e.
func (e *Error) WithRemedy(remedy string) *Error {
	e.Remedy = remedy
	return e
}

// WithRetryAfter sets the time to wait before a retry and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithCause sets the underlying error and returns e. The cause keeps its stack
// trace for logs.
func (e *Error) WithCause(err error) *Error {
	e.cause = merry.WrapSkipping(err, 1)
	return e
}

// Error returns the message, the cause and the remedy on one line.
func (e *Error) Error() string {
	s := e.Message
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the first Error in err's chain, or Internal if
// there is none.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
