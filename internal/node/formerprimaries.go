package node

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/shard"
)

// formerPrimaries finds targets that become primary again. Connections to them
// that were open while they were demoted refuse writes for good, so the pools
// must not use them in the new term.
type formerPrimaries struct {
	// terms holds the latest term in which this VM saw a target as primary.
	terms *shard.Map[siskin.TargetID, siskin.Term]
}

func newFormerPrimaries() formerPrimaries {
	return formerPrimaries{shard.New[siskin.TargetID, siskin.Term]()}
}

// isPromotedAgain reports whether the primary of the view was one in an earlier term.
func (f formerPrimaries) isPromotedAgain(view *siskin.GroupView) (promotedAgain bool) {
	if view.Primary == "" {
		return false
	}
	f.terms.Update(view.Primary, func(old siskin.Term, known bool) (siskin.Term, bool) {
		promotedAgain = known && view.Term > old
		return view.Term, true
	})
	return promotedAgain
}
