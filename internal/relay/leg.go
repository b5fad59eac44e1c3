package relay

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
)

// Sink receives the answer of a batch.
type Sink interface {
	// Forward copies the current message of r, whose head is h.
	Forward(h frame.Head, r *frame.Reader) error
	// SendMessage sends a message that was held back.
	SendMessage(typ byte, body []byte) error
	// SendToken sends the position that the session has now seen.
	SendToken(pos siskin.Position) error
	// Flush sends what is buffered.
	Flush() error
	// Err returns the first error of the caller's connection.
	Err() error
}

// Result is the end of an answer.
type Result struct {
	// Status is the transaction status that the target reported.
	Status byte
	// CopyIn says that the target waits for copy data; Status is not set.
	CopyIn bool
}

// Executor runs the batches of one transaction at its home, which is this VM or
// another one. All methods but Abort are called by one goroutine at a time;
// Answer may run while another goroutine writes to Writer.
type Executor interface {
	// Send sends the collected messages of a batch. With last they end in a
	// Query, FunctionCall or Sync.
	Send(batch []byte, last bool) error
	// Writer returns the stream to the home, for batches that are not collected.
	Writer() *frame.Writer
	// RelayAnswer relays the answer of the batch until the target is ready for the
	// next one, or until it asks for copy data when stopAtCopy is set. When the
	// batch is still being sent, quiesce stops that and waits for its end.
	RelayAnswer(sink Sink, stopAtCopyIn bool, quiesce func()) (Result, *Failure)
	// Finish ends a transaction whose last answer reported idle.
	Finish()
	// Abort ends the transaction in any other case.
	Abort(cause error)
	// Cancel asks the target to end the statement in progress.
	Cancel()
}
