package group

import (
	"time"

	"siskintray.example/siskin"
)

type actionKind int

const (
	actProbe   actionKind = iota // request the status immediately
	actClaim                     // claim target for term
	actPromote                   // promote target over the connection that claimed it
	actFollow                    // make target follow primary in term
	actDrain                     // make target block new writes for hold
	actCatchUp                   // wait until target has received pos
	actDone                      // the attempt has ended with err
)

// action is an operation that the machine orders.
type action struct {
	kind    actionKind
	target  siskin.TargetID
	attempt int
	request int // actDone: the operator's request, 0 for none
	term    siskin.Term
	primary siskin.TargetID
	address string
	pos     siskin.Position
	hold    time.Duration
	// unresponsive is the primary that a claim is to replace because it no
	// longer answers; empty if there is none.
	unresponsive siskin.TargetID
	err          error
}
