package spread

import (
	"encoding/json"
	"fmt"

	"siskintray.example/siskin"
)

// Names of the objects on the platform.
const (
	headName     siskin.ObjectName = "Config/Head"
	snapshotName siskin.ObjectName = "Config/Snapshot"
	shardPrefix  siskin.ObjectName = "Config/Shard/"
	statusPrefix siskin.ObjectName = "Config/Status/"
)

// head is the value of Config/Head.
type head struct {
	Revision siskin.Revision
	// Recent lists the latest changes, oldest first, including every revision
	// that the snapshot does not cover.
	Recent []headChange
}

type headChange struct {
	Revision  siskin.Revision
	Operation siskin.OperationID
}

// changeName returns the name of a change object. It contains the operation id,
// so that concurrent operators never write the same object.
func changeName(c headChange) siskin.ObjectName {
	return siskin.ObjectName(fmt.Sprintf("Config/Change/%012d/%s", c.Revision, c.Operation))
}

// findOperation returns the revision that an operation committed, if the head
// lists it.
func (h *head) findOperation(op siskin.OperationID) (siskin.Revision, bool) {
	for _, c := range h.Recent {
		if c.Operation == op {
			return c.Revision, true
		}
	}
	return 0, false
}

// next returns the head after one more change, without the changes that the
// snapshot covers.
func (h *head) next(op siskin.OperationID, snapshot siskin.Revision) head {
	n := head{Revision: h.Revision + 1}
	for _, c := range h.Recent {
		if c.Revision > snapshot || c.Revision+minRecent > n.Revision {
			n.Recent = append(n.Recent, c)
		}
	}
	n.Recent = append(n.Recent, headChange{n.Revision, op})
	return n
}

func parseHead(o siskin.Object) (head, error) {
	var h head
	if o.Version == 0 {
		return h, nil
	}
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return h, siskin.NewError(siskin.BadInput, "object %s is malformed", o.Name).WithCause(err)
	}
	for i, c := range h.Recent {
		if want := h.Revision - siskin.Revision(len(h.Recent)-1-i); c.Revision != want {
			return h, siskin.NewError(siskin.BadInput, "object %s lists revision %d instead of %d", o.Name, c.Revision, want)
		}
	}
	return h, nil
}
