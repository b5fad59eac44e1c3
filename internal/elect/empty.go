package elect

import (
	"slices"

	"siskintray.example/siskin"
)

// errEmpty says that a claimed target has received nothing.
var errEmpty = siskin.NewError(siskin.Unavailable, "the target has started with an empty log and received nothing since")

// failEmpty makes the claims fail of targets whose log is empty while another
// one's is not. Such a target has started without a path to the primary, and
// lacks commits that it, or its predecessor, acknowledged.
func failEmpty(claims []claim) {
	empty := func(c claim) bool { return c.err == nil && c.status.Received.LSN == 0 }
	if !slices.ContainsFunc(claims, func(c claim) bool { return c.err == nil && !empty(c) }) {
		return
	}
	for i := range claims {
		if empty(claims[i]) {
			claims[i].err = errEmpty
		}
	}
}
