package limit

import (
	"time"

	"siskintray.example/siskin"
)

// AskArgs asks another holder for units of several customers. A repeated
// message with the same Seq gets the same reply.
type AskArgs struct {
	From            siskin.VMID
	FromIncarnation siskin.Incarnation
	ToIncarnation   siskin.Incarnation
	Seq             uint64
	Items           []AskItem
	// Offer asks the receiver to take over everything that the sender holds, by
	// asking back with All set.
	Offer bool
	// All asks for all units; the sender got an Offer.
	All bool
}

// AskItem asks for units of one customer.
type AskItem struct {
	Customer siskin.CustomerID
	// Epoch is the asker's epoch of the customer's bucket. Units move only
	// within one epoch.
	Epoch  uint64
	Units  siskin.QuotaUnits        // units that the asker has
	Demand siskin.RequestsPerSecond // recent demand at the asker
	// Lasting is the asker's demand averaged over the slow span. Parts of a
	// customer above its rate follow it, so that noise moves no units.
	Lasting siskin.RequestsPerSecond
	Need    siskin.Requests // tokens that the asker lacks
	// Known is the number of holders that the asker knows of.
	Known int
}

// AskReply answers AskArgs.
type AskReply struct {
	// Stale says that the message was for another incarnation or is older than
	// one already answered.
	Stale bool
	Items []TransferItem
}

// TransferItem gives units of one customer together with the tokens in them.
type TransferItem struct {
	Customer siskin.CustomerID
	Epoch    uint64
	Units    siskin.QuotaUnits
	Tokens   siskin.Requests
	// Fair says that the units were taken from what the giver needs itself. They
	// are no sign that others can spare more.
	Fair bool
	// Spare is what the giver keeps without needing it, a hint for the next
	// request.
	Spare siskin.QuotaUnits
	// Lasting is the giver's demand averaged over the slow span.
	Lasting siskin.RequestsPerSecond
	// Richest is another holder that could spare RichestSpare units RichestAge
	// ago. The age keeps two poor holders from sending an asker back and forth.
	Richest      siskin.VMID
	RichestSpare siskin.QuotaUnits
	RichestAge   time.Duration
	// Holders is set when the giver knows more holders than the asker. VMs join
	// after the asker has read the record.
	Holders []holderID
}

// ReportArgs asks a holder to enter an epoch and to report its units.
type ReportArgs struct {
	Bucket        int
	Epoch         uint64
	ToIncarnation siskin.Incarnation
}

// ReportReply is the state of one holder when it entered the epoch.
type ReportReply struct {
	// Rest is held for each customer that is not in Customers.
	Rest      siskin.QuotaUnits
	Customers map[siskin.CustomerID]siskin.QuotaUnits
}
