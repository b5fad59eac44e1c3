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
	evFailureReported             // a caller reported a failed statement or connection
	evClaimed                     // answer to a claim; ok says that it was granted
	evPromoted                    // answer to a promotion
	evDrained                     // answer to a drain
	evCaughtUp                    // answer to a wait for the end of the primary's log
	evChange                      // an operator requested a change of primary
	evRemoteStatus                // another VM sent the status of a target
	evRemotePrimary               // another VM sent the primary of a later term
	evRemoteUnreachable           // another VM cannot reach a target
)

// event is one input of the machine.
type event struct {
	kind      eventKind
	target    siskin.TargetID
	preferred siskin.TargetID // evChange: the target to promote
	attempt   int             // attempt that the answer belongs to
	request   int             // evChange: the operator's request
	status    siskin.TargetStatus
	askedAt   time.Time // when the status was requested
	// lastStatementAnswer is when a target whose probe failed last answered a
	// statement; zero if no statement waits for it.
	lastStatementAnswer time.Time
	ok                  bool
	hasStatus           bool // status holds an answer
	// conflict is set when the target refused a promotion, which then did not
	// take effect.
	conflict bool
	force    bool // evChange: accept the loss of writes
}
