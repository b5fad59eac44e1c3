package siskin

// TxState is the transaction state that an answer reports.
type TxState int

// Transaction states.
const (
	TxIdle TxState = iota
	TxOpen
	TxFailed // ending the transaction rolls back, every other statement fails
)

// String returns the state's name as it appears in logs.
func (s TxState) String() string {
	switch s {
	case TxOpen:
		return "Open"
	case TxFailed:
		return "Failed"
	default:
		return "Idle"
	}
}

// Answer is the complete answer to one statement.
type Answer struct {
	Rows []string `json:",omitempty"`
	// Signature proves which target ran the statement. It is empty when the
	// system answered by itself.
	Signature string `json:",omitempty"`
	// Code is Succeeded when the statement was carried out.
	Code    AnswerCode `json:",omitempty"`
	Message string     `json:",omitempty"`
	State   TxState    `json:",omitempty"`
	// Position is the end of the target's log when it answered; zero when
	// unknown.
	Position Position `json:",omitzero"`
}
