package group

import (
	"time"

	"siskintray.example/siskin"
)

type actionKind int

const (
	actProbe   actionKind = iota // ask for the status now
	actClaim                     // claim target for term
	actPromote                   // promote target in the session of its claim
	actFollow                    // make target follow primary in term
	actDrain                     // hold new writes at target for hold
	actCatchUp                   // wait until target has received pos
	actDone                      // the attempt has ended with err
)

// action is one output of the machine.
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
	// unresponsive is the primary that a claim is to replace because it fell unresponsive.
	unresponsive siskin.TargetID
	err          error
}
