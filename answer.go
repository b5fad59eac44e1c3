package siskin

// TxState is the transaction state that an answer reports.
type TxState int

// Transaction states.
const (
	TxIdle TxState = iota
	TxOpen
	TxFailed // ending the transaction rolls it back; other statements fail
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

// Answer is the complete response to one statement.
type Answer struct {
	Rows []string `json:",omitempty"`
	// Signature proves which target ran the statement. It is empty when
	// siskintray answered without a target.
	Signature string `json:",omitempty"`
	// Code is Succeeded if the statement ran successfully.
	Code    AnswerCode `json:",omitempty"`
	Message string     `json:",omitempty"`
	State   TxState    `json:",omitempty"`
	// Position is the end of the target's log when it answered; zero when
	// unknown.
	Position Position `json:",omitzero"`
	// RowsDropped reports that the target's answer does not fit into the memory of
	// this VM. Rows is not valid then.
	RowsDropped bool `json:",omitempty"`
}
