package siskin

// AnswerCode is the result code of a statement of the session protocol.
type AnswerCode int

// Result codes.
const (
	Succeeded AnswerCode = iota
	// Busy means that the statement did not run for lack of capacity.
	Busy
	// Aborted means that the transaction was rolled back and had no effect.
	Aborted
	// Lagging means that the target's log has not reached the statement's Floor.
	Lagging
	// ReadOnly means that the target is not the primary of its service.
	ReadOnly
	// Misdirected means that the address now belongs to another target.
	Misdirected
	// TooMany means that the target has too many connections to accept another.
	TooMany
	// NoStatement means that the target does not have the prepared statement.
	NoStatement
	// InDoubt means that a write or commit may or may not have taken effect.
	InDoubt
	// TimedOut means that the statement exceeded the timeout of its route.
	TimedOut
	// Failed means that the target ran the statement and it failed.
	Failed
	// Malformed means that the statement cannot be parsed or is not allowed in
	// the current transaction state.
	Malformed
	// NoDatabase means that no route is configured for the database name.
	NoDatabase
	// NoAuth means that the key is unknown or revoked.
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

// HadNoEffect reports whether the code guarantees that the statement had no
// effect, so that it is safe to retry.
func (c AnswerCode) HadNoEffect() bool {
	switch c {
	case Busy, Aborted, Lagging, ReadOnly, Misdirected, TooMany, NoStatement:
		return true
	default:
		return false
	}
}
