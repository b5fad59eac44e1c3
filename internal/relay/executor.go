package relay

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/frame"
)

// Sink receives the messages of an answer.
type Sink interface {
	// Forward copies the current message of r, which has the header h.
	Forward(h frame.Header, r *frame.Reader) error
	// SendMessage sends a message that was held back.
	SendMessage(typ byte, body []byte) error
	// SendToken sends the position that the session has observed.
	SendToken(pos siskin.Position) error
	// Flush sends the buffered messages.
	Flush() error
	// Err returns the first error on the caller's connection.
	Err() error
}

// Result describes how an answer ended.
type Result struct {
	// Status is the transaction status that the target reported.
	Status byte
	// CopyIn reports whether the target waits for copy data. Status is not set
	// then.
	CopyIn bool
}

// Executor runs the batches of one transaction at its home, which is this VM or
// another one. Only one goroutine at a time calls its methods other than Abort,
// except that RelayAnswer may run while another goroutine writes to Writer.
type Executor interface {
	// Send sends the collected messages of a batch. If last is set, they end
	// with a Query, FunctionCall or Sync.
	Send(batch []byte, last bool) error
	// Writer returns the stream to the home, for batches that are not
	// collected.
	Writer() *frame.Writer
	// RelayAnswer relays the answer to the batch until the target is ready for
	// the next one, or until it requests copy data if stopAtCopyIn is set. If
	// the batch is still being sent, quiesce is not nil; it stops the sending
	// and waits until it has stopped.
	RelayAnswer(sink Sink, stopAtCopyIn bool, quiesce func()) (Result, *Failure)
	// Finish ends a transaction after its last answer reported the idle status.
	Finish()
	// Abort ends the transaction in any other case.
	Abort(cause error)
	// Cancel asks the target to end the statement in progress.
	Cancel()
}
