package home

import (
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/speed"
)

// Proof is the condition that the target must meet before a statement runs.
type Proof int

// Values of Proof.
const (
	// NoProof is for writes, which a target that is not the primary refuses.
	NoProof Proof = iota
	// FloorProof makes the target check that it has applied its log up to
	// Request.Floor.
	FloorProof
	// LeadProof begins a transaction that only a primary accepts.
	LeadProof
)

// TxMode is the relation of a statement to transactions.
type TxMode int

// Values of TxMode.
const (
	Single TxMode = iota
	// Open begins a transaction before the statement and keeps it open.
	Open
	// Continue runs the statement in the transaction Request.Tx.
	Continue
)

// TxID identifies an open transaction of a home.
type TxID uint64

// Prepared describes a prepared statement of a session.
type Prepared struct {
	Shape  string
	Writes bool
}

// Value is one value of a session.
type Value struct{ Name, Text string }

// Request asks a home to run one statement.
type Request struct {
	Statement siskin.Statement
	Service   siskin.ServiceName
	Target    siskin.TargetID
	// Home is the VM that holds the transaction of a request with mode
	// Continue.
	Home     siskin.VMID `json:",omitempty"`
	Customer siskin.CustomerID
	// Class orders the statements of a customer while they wait. It is any
	// number in a request of another VM.
	Class siskin.PriorityClass `json:",omitempty"`
	// Values are the session's values, ordered by name.
	Values []Value `json:",omitempty"`
	// Prepared is the prepared statement that an Execute runs.
	Prepared Prepared `json:",omitzero"`
	Proof    Proof    `json:",omitempty"`
	// Floor is the log position that FloorProof requires.
	Floor siskin.Position `json:",omitzero"`
	// FloorTTL is the time for which the floor remains recent enough for the
	// route. Zero means that it does not expire.
	FloorTTL time.Duration `json:"FloorFor,omitempty"`
	Mode     TxMode        `json:",omitempty"`
	Tx       TxID          `json:",omitempty"`
	// Unreachable reports that another home could not reach the target, which
	// may have restarted since.
	Unreachable bool `json:",omitempty"`
	// Timeout limits the total time of waiting and running.
	Timeout time.Duration `json:"Patience"`
	// QueueTimeout limits the wait for a slot and a connection.
	QueueTimeout time.Duration `json:"QueueFor"`
	// AcquireTimeout limits the wait for a connection when all are in use. Zero
	// means QueueTimeout.
	AcquireTimeout time.Duration `json:"ConnectFor,omitempty"`
	// TxIdleTimeout is the time after which an idle transaction is rolled back.
	TxIdleTimeout time.Duration `json:"TxIdle,omitempty"`

	replaced bool // see Replaced
}

// Outcome is what is known about the execution of a statement.
type Outcome int

// Values of Outcome.
const (
	// NotSent means that the target did not receive the statement.
	NotSent Outcome = iota
	// Answered means that Reply.Answer is the target's complete answer.
	Answered
	// AnswerLost means that the statement was sent and no answer was received.
	AnswerLost
)

// Cause is the reason why a statement was not answered.
type Cause int

// Values of Cause.
const (
	NoCause Cause = iota
	// Overload means that the queue, or the rate limit of cold targets, cannot
	// serve the statement in time.
	Overload
	// NoConnection means that all connections to the target are in use.
	NoConnection
	// Unreachable means that the target cannot be reached from this home.
	Unreachable
	// Unknown means that the home does not know the target or transaction.
	Unknown
	// Stale means that the floor expired in the queue.
	Stale
	// Silent means that the target did not answer in time.
	Silent
	// Refused means that the target refused the proof, as Reply.Answer says.
	Refused
	// Unconfirmed means that the replicas did not confirm that the target is
	// the primary.
	Unconfirmed
	// Stalled means that the target does not acknowledge writes at the moment.
	Stalled
	// Evacuated means that statements must not be sent to the target's data
	// centre.
	Evacuated
	// OutOfStep means that the answers on the connection could not be matched
	// to the statements.
	OutOfStep
	// Unsendable means that the statement does not fit into a message to the
	// target.
	Unsendable
)

var causes = [...]string{"None", "Overload", "NoConnection", "Unreachable", "Unknown", "Stale", "Silent", "Refused", "Unconfirmed", "Stalled", "Evacuated", "OutOfStep", "Unsendable"}

// String returns the cause's name as it appears in logs and metrics.
func (c Cause) String() string {
	if c < 0 || int(c) >= len(causes) {
		return "None"
	}
	return causes[c]
}

// Reply is the result of a Request.
type Reply struct {
	Outcome Outcome
	Cause   Cause         `json:",omitempty"`
	Answer  siskin.Answer `json:",omitzero"`
	Tx      TxID          `json:",omitempty"`
	// Home is the VM that ran the statement.
	Home siskin.VMID `json:",omitempty"`
	// Conn is the connection on which the home ran the statement, and Exchange
	// the number of exchanges on it up to then.
	Conn     ConnID `json:",omitempty"`
	Exchange int    `json:",omitempty"`
	// RetryAfter is the time after which a refused statement may be served.
	RetryAfter time.Duration `json:",omitempty"`
	// Lead is the target's position when it proved that it is the primary, and
	// LeadAge the time since the request. They are set if LeadProven is true.
	Lead       siskin.Position `json:",omitzero"`
	LeadAge    time.Duration   `json:",omitempty"`
	LeadProven bool            `json:",omitempty"`
	// Waited is the time in the queue, and Ran the time at the target.
	Waited, Ran time.Duration `json:",omitempty"`
	// MayHaveRun is set if an attempt at the statement ended without an answer. Only
	// reads are tried again.
	MayHaveRun bool `json:",omitempty"`
	// Load is the number of queued and running statements at the target.
	Load int `json:",omitempty"`
	// Speed is what the home has measured of the target for statements of the
	// kind of the request. Older VMs send none.
	Speed speed.Report `json:",omitzero"`
}

// AnswerMissing reports whether an attempt at the statement got no answer from a
// target that may have run it. VMs of earlier versions tell it of a read by Ran
// alone.
func (r *Reply) AnswerMissing() bool {
	return r.MayHaveRun || r.Outcome == AnswerLost || r.Outcome == NotSent && r.Ran > 0
}
