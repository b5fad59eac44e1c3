package node

import (
	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/shard"
)

// formerPrimaries detects targets that become primary again. A connection that
// was open while its target was demoted refuses writes permanently, so the pool
// must not use it in the new term.
type formerPrimaries struct {
	// terms holds the latest term in which this VM saw a target as primary.
	terms *shard.Map[siskin.TargetID, siskin.Term]
}

func newFormerPrimaries() formerPrimaries {
	return formerPrimaries{shard.New[siskin.TargetID, siskin.Term]()}
}

// isPromotedAgain reports whether the primary of the view was also the primary
// in an earlier term.
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
