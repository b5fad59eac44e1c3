package siskin

// AnswerCode is the result of a statement of the session protocol.
type AnswerCode int

// Result codes.
const (
	Succeeded AnswerCode = iota
	// Busy means that the statement did not run for lack of capacity.
	Busy
	// Aborted means that the transaction was rolled back and left no trace.
	Aborted
	// Lagging means that the target's log lacks the floor of the statement.
	Lagging
	// ReadOnly means that the target does not lead its service.
	ReadOnly
	// Misdirected means that the address belongs to another target now.
	Misdirected
	// TooMany means that the target accepts no further connection.
	TooMany
	// NoStatement means that the target does not know a prepared statement.
	NoStatement
	// InDoubt means that a write or commit may have taken effect.
	InDoubt
	// TimedOut means that the statement ran longer than its route allows.
	TimedOut
	// Failed means that the target ran the statement without success.
	Failed
	// Malformed means that the statement is not understood or not allowed in
	// the present transaction state.
	Malformed
	// NoDatabase means that no route has the name of the database.
	NoDatabase
	// NoAuth means that the key is unknown or withdrawn.
	NoAuth
)

var answerCodes = [...]string{
	"Succeeded", "Busy", "Aborted", "Lagging", "ReadOnly", "Misdirected", "TooMany", "NoStatement",
	"InDoubt", "TimedOut", "Failed", "Malformed", "NoDatabase", "NoAuth",
}

// String returns the code's name as it appears in logs and metrics.
func (c AnswerCode) String() string {
	if c < 0 || int(c) >= len(answerCodes) {
		return "Unknown"
	}
	return answerCodes[c]
}

// HadNoEffect reports whether the code promises that the statement left no
// trace, so that it is safe to send again.
func (c AnswerCode) HadNoEffect() bool {
	switch c {
	case Busy, Aborted, Lagging, ReadOnly, Misdirected, TooMany, NoStatement:
		return true
	default:
		return false
	}
}
