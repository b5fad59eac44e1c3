package home

import (
	"time"

	"siskintray.example/siskin"
)

// Proof is what must hold at the target before a statement runs.
type Proof int

// Proofs.
const (
	// NoProof is for writes, which a target that does not lead refuses itself.
	NoProof Proof = iota
	// FloorProof lets the target check that it has applied Request.Floor.
	FloorProof
	// LeadProof opens a transaction that only a primary accepts.
	LeadProof
)

// TxMode says how a statement relates to transactions.
type TxMode int

// Transaction modes.
const (
	Single TxMode = iota
	// Open begins a transaction before the statement and keeps it open.
	Open
	// Continue runs the statement in the transaction Request.Tx.
	Continue
)

// TxID names an open transaction of a home.
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
	// Home is the VM that holds the transaction of a Continue.
	Home     siskin.VMID `json:",omitempty"`
	Customer siskin.CustomerID
	// Values are the session's values, ordered by name.
	Values []Value `json:",omitempty"`
	// Prepared is the statement that an Execute names.
	Prepared Prepared `json:",omitzero"`
	Proof    Proof    `json:",omitempty"`
	// Floor is the position that FloorProof asks for.
	Floor siskin.Position `json:",omitzero"`
	// FloorTTL is how much longer the floor is young enough for the route.
	// Zero means that it does not age.
	FloorTTL time.Duration `json:"FloorFor,omitempty"`
	Mode     TxMode        `json:",omitempty"`
	Tx       TxID          `json:",omitempty"`
	// Unreachable says that another home could not reach the target, which may have
	// started again since.
	Unreachable bool `json:",omitempty"`
	// Timeout bounds waiting and running together.
	Timeout time.Duration `json:"Patience"`
	// QueueTimeout bounds the wait for a place and a connection.
	QueueTimeout time.Duration `json:"QueueFor"`
	// AcquireTimeout bounds the wait for a connection when all are in use.
	AcquireTimeout time.Duration `json:"ConnectFor,omitempty"`
	// TxIdleTimeout is the time after which an idle transaction is rolled back.
	TxIdleTimeout time.Duration `json:"TxIdle,omitempty"`
}

// Outcome says what is known of a statement.
type Outcome int

// Outcomes.
const (
	// NotSent means that the target did not receive the statement.
	NotSent Outcome = iota
	// Answered means that Reply.Answer is the target's complete answer.
	Answered
	// InDoubt means that the statement was sent and its answer is missing.
	InDoubt
)

// Cause says why a statement was not answered.
type Cause int

// Causes.
const (
	NoCause Cause = iota
	// Overload means that the queue cannot serve the statement in time.
	Overload
	// NoConnection means that all connections to the target are in use.
	NoConnection
	// Unreachable means that the target cannot be reached from this home.
	Unreachable
	// Unknown means that the home does not know the target or transaction.
	Unknown
	// Stale means that the floor grew too old in the queue.
	Stale
	// Silent means that the target did not answer in time.
	Silent
	// Refused means that the target refused the proof, as Reply.Answer says.
	Refused
	// Unconfirmed means that the replicas did not confirm the lead of the target.
	Unconfirmed
	// Stalled means that the target acknowledges no writes at the moment.
	Stalled
	// Evacuated means that nothing may be sent to the target's data centre.
	Evacuated
)

var causes = [...]string{"None", "Overload", "NoConnection", "Unreachable", "Unknown", "Stale", "Silent", "Refused", "Unconfirmed", "Stalled", "Evacuated"}

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
	// RetryAfter is the time after which a refused statement could be served.
	RetryAfter time.Duration `json:",omitempty"`
	// Lead is the target's position when it proved its lead, LeadAge the time
	// since the question. They are set when LeadProven is.
	Lead       siskin.Position `json:",omitzero"`
	LeadAge    time.Duration   `json:",omitempty"`
	LeadProven bool            `json:",omitempty"`
	// Waited is the time in the queue, Ran the time at the target.
	Waited, Ran time.Duration `json:",omitempty"`
	// Load is the number of statements that wait or run at the target.
	Load int `json:",omitempty"`
}
