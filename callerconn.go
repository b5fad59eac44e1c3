package siskin

import "errors"

// ErrInterrupted is returned by CallerConn.Next after CallerConn.Interrupt.
var ErrInterrupted = errors.New("interrupted before a statement arrived")

// CallerConn is the connection of one caller that uses the session protocol.
type CallerConn interface {
	// Start reads the startup message: the database name and the caller's key.
	// Its errors are those of Next; of kind BadInput also if no message arrives
	// in time.
	Start() (database, key string, err error)
	// Next reads the next statement. The error is io.EOF if the caller ended
	// the session, ErrInterrupted after Interrupt, of kind BadInput if the
	// bytes are not a valid message or its end does not arrive in time, of kind
	// TooLarge if the message exceeds the size limit, and of kind Overloaded if
	// messages that have arrived in part use too much memory.
	Next() (Statement, error)
	// Interrupt makes a blocked Start or Next return. If part of a message has
	// arrived, they return when its end has, or a short time later without it.
	Interrupt()
	// Ready informs the caller that the session is accepted.
	Ready() error
	// Answer sends the answer to the last statement that Next returned.
	Answer(a *Answer) error
	// Refuse sends an error that does not belong to a statement.
	Refuse(code AnswerCode, message string) error
	Close() error
}

// ChargedConn is implemented by a CallerConn whose messages count for a customer.
type ChargedConn interface {
	// SetCustomer charges the messages of the connection to a customer from now on.
	// Before the first call they count for the clients without a valid key.
	SetCustomer(id CustomerID)
}
