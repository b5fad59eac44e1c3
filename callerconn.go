package siskin

import "errors"

// ErrInterrupted is returned by CallerConn.Next after CallerConn.Interrupt.
var ErrInterrupted = errors.New("interrupted before a statement arrived")

// CallerConn is the connection of one caller that uses the session protocol.
type CallerConn interface {
	// Start reads the startup message: the database name and the caller's key.
	Start() (database, key string, err error)
	// Next reads the next statement. The error is io.EOF if the caller ended
	// the session, ErrInterrupted after Interrupt, and of kind BadInput if the
	// bytes are not a valid message.
	Next() (Statement, error)
	// Interrupt makes a blocked Next return, unless part of a statement has
	// arrived.
	Interrupt()
	// Ready informs the caller that the session is accepted.
	Ready() error
	// Answer sends the answer to the last statement that Next returned.
	Answer(a *Answer) error
	// Refuse sends an error that does not belong to a statement.
	Refuse(code AnswerCode, message string) error
	Close() error
}
