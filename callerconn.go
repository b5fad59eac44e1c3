package siskin

// CallerConn is the connection of one caller that speaks the session protocol.
type CallerConn interface {
	// Start reads the opening message: the database name and the caller's key.
	Start() (database, key string, err error)
	// Next reads the next statement. The error is io.EOF when the caller ended
	// the session, and of kind BadInput when the bytes are no message.
	Next() (Statement, error)
	// Buffered reports whether bytes of a further statement have arrived.
	Buffered() bool
	// Ready accepts the session.
	Ready() error
	// Answer sends the answer to the last statement that Next returned.
	Answer(a *Answer) error
	// Refuse sends an error outside of any statement.
	Refuse(code AnswerCode, message string) error
	Close() error
}
