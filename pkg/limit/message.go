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
	// Offer reverses the direction: the receiver is asked to request all
	// units that the sender holds, by a message with All set.
	Offer bool
	// All requests all units, in response to an Offer.
	All bool
}

// AskItem requests units of one customer.
type AskItem struct {
	Customer siskin.CustomerID
	// Epoch is the requester's epoch of the customer's bucket. Units move
	// only within one epoch.
	Epoch  uint64
	Units  siskin.QuotaUnits        // units that the requester has
	Demand siskin.RequestsPerSecond // recent demand at the requester
	// Lasting is the requester's demand averaged over the slow window. The units
	// of a customer above its rate are divided by it, so that noise moves none.
	Lasting siskin.RequestsPerSecond
	Need    siskin.Requests // tokens that the requester lacks
	// Known is the number of holders that the requester knows.
	Known int
}

// AskReply is the reply to AskArgs.
type AskReply struct {
	// Stale is true if the message was for another incarnation or older than
	// one that was already answered.
	Stale bool
	Items []TransferItem
}

// TransferItem transfers units of one customer and the tokens in them.
type TransferItem struct {
	Customer siskin.CustomerID
	Epoch    uint64
	Units    siskin.QuotaUnits
	Tokens   siskin.Requests
	// Fair is true if the donor needs some of the units itself. They are no
	// sign that others can spare more.
	Fair bool
	// Spare is the number of units that the donor keeps without needing them.
	// It is a hint for the next request.
	Spare siskin.QuotaUnits
	// Lasting is the donor's demand averaged over the slow window.
	Lasting siskin.RequestsPerSecond
	// Richest is another holder, which could spare RichestSpare units
	// RichestAge ago. The age keeps two holders without spare units from
	// referring a requester to each other.
	Richest      siskin.VMID
	RichestSpare siskin.QuotaUnits
	RichestAge   time.Duration
	// Holders is set if the donor knows more holders than the requester, such
	// as VMs that joined after the requester read the record.
	Holders []holderID
}

// ReportArgs asks a holder to start an epoch and to report its units.
type ReportArgs struct {
	Bucket        int
	Epoch         uint64
	ToIncarnation siskin.Incarnation
}

// ReportReply is the state of one holder at the start of the epoch.
type ReportReply struct {
	// Rest is the units of each customer that is not in Customers.
	Rest      siskin.QuotaUnits
	Customers map[siskin.CustomerID]siskin.QuotaUnits
}
