package spread

import (
	"sync"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/invar"
)

var (
	oneOperationPerRevision = invar.New("ConfigOneOperationPerRevision")
	refusedNeverVisible     = invar.New("ConfigRefusedNeverVisible")
)

// historyRevisions is the number of latest revisions whose operations are kept.
const historyRevisions = 256

// operationHistory records which operations made the latest revisions and which
// were refused, to check the invariants that each revision has one operation
// and that no refused change becomes visible.
type operationHistory struct {
	mu       sync.Mutex
	accepted map[siskin.Revision]siskin.OperationID
	refused  map[siskin.Revision]siskin.OperationID
}

func newOperationHistory() *operationHistory {
	return &operationHistory{accepted: make(map[siskin.Revision]siskin.OperationID), refused: make(map[siskin.Revision]siskin.OperationID)}
}

// recordAccepted records the operation that made an accepted revision.
func (a *operationHistory) recordAccepted(rev siskin.Revision, op siskin.OperationID) {
	if op == "" {
		return // the documents come from several changes, as in an exchange
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	old, known := a.accepted[rev]
	oneOperationPerRevision.Check(!known || old == op, "revision %d was made by %s and by %s", rev, old, op)
	refusedNeverVisible.Check(a.refused[rev] != op, "revision %d by %s is in force after it was refused", rev, op)
	a.accepted[rev] = op
	delete(a.accepted, rev-min(rev, historyRevisions))
}

// recordRefused records that an operation was refused as the given revision.
func (a *operationHistory) recordRefused(rev siskin.Revision, op siskin.OperationID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	refusedNeverVisible.Check(a.accepted[rev] != op, "revision %d by %s is refused after it was in force", rev, op)
	a.refused[rev] = op
	delete(a.refused, rev-min(rev, historyRevisions))
}

func (a *operationHistory) acceptedOperation(rev siskin.Revision) siskin.OperationID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.accepted[rev]
}
