package group

import (
	"time"

	"siskintray.example/siskin"
)

type eventKind int

const (
	evTick              eventKind = iota
	evStatus                      // a target reported its status
	evFailed                      // a call failed or timed out
	evRefused                     // a connection was refused or broke
	evFailureReported             // a caller saw a failed statement or connection
	evClaimed                     // answer to a claim; ok says that it was granted
	evPromoted                    // answer to a promotion
	evDrained                     // answer to a drain
	evCaughtUp                    // answer to a wait for the end of the primary's log
	evChange                      // an operator asks for a change of primary
	evRemoteStatus                // another VM told the status of a target
	evRemotePrimary               // another VM told of a later primary
	evRemoteUnreachable           // another VM told that a target does not answer it
)

// event is one input of the machine.
type event struct {
	kind      eventKind
	target    siskin.TargetID
	preferred siskin.TargetID // evChange: the primary to be
	attempt   int             // attempt that the answer belongs to
	request   int             // evChange: the operator's request
	status    siskin.TargetStatus
	askedAt   time.Time // when the status was asked for
	// lastStatementAnswer is when a target that failed last answered a statement, if one waits.
	lastStatementAnswer time.Time
	ok                  bool
	hasStatus           bool // status holds an answer
	// conflict says that the target refused a promotion, so it did not happen.
	conflict bool
	force    bool // evChange: accept the loss of writes
}
