package siskin

import "errors"

// ErrInterrupted is returned by CallerConn.Next after an interrupt.
var ErrInterrupted = errors.New("interrupted while no statement had arrived")

// CallerConn is the connection of one caller that speaks the session protocol.
type CallerConn interface {
	// Start reads the opening message: the database name and the caller's key.
	Start() (database, key string, err error)
	// Next reads the next statement. The error is io.EOF when the caller ended
	// the session, ErrInterrupted after Interrupt, and of kind BadInput when the
	// bytes are no message.
	Next() (Statement, error)
	// Interrupt makes a Next that waits return, unless bytes of a statement have
	// arrived.
	Interrupt()
	// Ready accepts the session.
	Ready() error
	// Answer sends the answer to the last statement that Next returned.
	Answer(a *Answer) error
	// Refuse sends an error outside of any statement.
	Refuse(code AnswerCode, message string) error
	Close() error
}
