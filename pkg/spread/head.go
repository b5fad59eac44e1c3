package spread

import (
	"encoding/json"
	"fmt"

	"siskintray.example/siskin"
)

// headName is the object whose conditional update makes a change current.
const headName siskin.ObjectName = "Config/Head"

// head names the newest revision and the changes that are not yet folded into
// the snapshot.
type head struct {
	Revision siskin.Revision
	// Folded is the revision that every shard of the snapshot has reached.
	Folded siskin.Revision
	// Recent are the changes after Folded, in order.
	Recent []changeRef
}

// changeRef names the object of a change and the version that was accepted.
type changeRef struct {
	Revision siskin.Revision
	Name     siskin.ObjectName
	Version  siskin.Version
}

// changeSlots bounds the names of change objects per run of a VM. It is far
// above the number of changes that are not folded.
const changeSlots = 1024

// changeName returns the object for a change. It names the run of the VM, so
// that no other writer replaces a change between its write and its acceptance,
// and the number of updates of the head by this run whose outcome is unknown:
// such an update can still take effect, so its change must not be replaced.
func changeName(revision siskin.Revision, vm siskin.VM, unknown int) siskin.ObjectName {
	return siskin.ObjectName(fmt.Sprintf("Config/Change/%04d/%s-%d-%d", revision%changeSlots, vm.ID, vm.Incarnation, unknown))
}

func decodeHead(o siskin.Object) (head, error) {
	var h head
	if o.Version == 0 {
		return h, nil
	}
	if err := json.Unmarshal(o.Value, &h); err != nil {
		return h, siskin.NewError(siskin.Internal, "object %s is not a head", headName).
			WithRemedy("restore the object from the platform's history").WithCause(err)
	}
	return h, nil
}

func (h *head) encode() ([]byte, error) { return json.Marshal(h) }
