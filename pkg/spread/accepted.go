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

// acceptedKept is the number of revisions whose operations are remembered.
const acceptedKept = 256

// accepted remembers which operations made the latest revisions in force and
// which were refused, to check that no other change becomes visible.
type accepted struct {
	mu      sync.Mutex
	made    map[siskin.Revision]siskin.OperationID
	refused map[siskin.Revision]siskin.OperationID
}

func newAccepted() *accepted {
	return &accepted{made: make(map[siskin.Revision]siskin.OperationID), refused: make(map[siskin.Revision]siskin.OperationID)}
}

// note records the operation that made a revision in force.
func (a *accepted) note(rev siskin.Revision, op siskin.OperationID) {
	if op == "" {
		return // documents of several changes, as from an exchange
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	old, known := a.made[rev]
	oneOperationPerRevision.Check(!known || old == op, "revision %d was made by %s and by %s", rev, old, op)
	refusedNeverVisible.Check(a.refused[rev] != op, "revision %d by %s is in force after it was refused", rev, op)
	a.made[rev] = op
	delete(a.made, rev-min(rev, acceptedKept))
}

// refuse records that an operation did not make a revision.
func (a *accepted) refuse(rev siskin.Revision, op siskin.OperationID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	refusedNeverVisible.Check(a.made[rev] != op, "revision %d by %s is refused after it was in force", rev, op)
	a.refused[rev] = op
	delete(a.refused, rev-min(rev, acceptedKept))
}

func (a *accepted) operation(rev siskin.Revision) siskin.OperationID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.made[rev]
}
