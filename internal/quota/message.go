package quota

import (
	"time"

	"siskintray.example/siskin"
)

// Stamp is a time on the clock of the VM that issued it, with the run of that
// VM.
type Stamp struct {
	Run siskin.Incarnation
	At  int64 // nanoseconds
}

// Loans lends parts of the sender's shares to the receiver.
type Loans struct {
	From  siskin.VMID
	Stamp Stamp // the last one that the receiver issued to the sender
	Parts []LoanPart
}

// LoanPart lends one share of the rates of some customers.
type LoanPart struct {
	Share     float64
	Customers []siskin.CustomerID
	// Tokens are the tokens that the lender had accrued for some of the
	// customers and transfers with the share.
	Tokens Tokens `json:",omitempty"`
}

// Tokens are tokens that one VM transfers to another, by customer. The sender
// removes them from its own buckets first, so that a lost message loses tokens
// and never duplicates any.
type Tokens map[siskin.CustomerID]float64

// TakeArgs asks the owner of a customer's pool for tokens.
type TakeArgs struct {
	Customer siskin.CustomerID
	Tokens   int
	// Class is the class of the request that needs them, and Wait how long it
	// can wait for one. VMs of an earlier version send neither.
	Class siskin.PriorityClass `json:",omitempty"`
	Wait  time.Duration        `json:",omitempty"`
	// Returning is set after a reply with Return, when RetryAfter has passed.
	Returning bool `json:",omitempty"`
}

// TakeReply holds the tokens granted.
type TakeReply struct {
	Tokens     int
	RetryAfter time.Duration
	// Return is set if the request should wait for RetryAfter and ask again.
	// Its place among those that wait is kept.
	Return bool `json:",omitempty"`
}
