package elect

import (
	"cmp"
	"slices"

	"siskintray.example/siskin"
)

// claim is the result of claiming one target.
type claim struct {
	target siskin.TargetInfo
	status siskin.ControlStatus
	// primary says that the target was held to lead before the change.
	primary bool
	err     error
}

func (c *claim) holds(term siskin.Term) bool { return c.err == nil && c.status.HeldTerm >= term }

// enough reports whether every set of targets that could have acknowledged a
// commit contains a claimed one. A commit is acknowledged by the primary and
// sync replicas, so at most sync targets may be missing; a claimed primary has
// every commit itself.
func enough(claims []claim, term siskin.Term, sync int) bool {
	missing := 0
	for i := range claims {
		c := &claims[i]
		switch {
		case c.holds(term) && c.primary:
			return true
		case !c.holds(term):
			missing++
		}
	}
	return missing <= max(sync, 1) && missing < len(claims)
}

// newest returns the claimed target to promote: the one with the newest log,
// and among equals one that stays. The old primary is chosen only when it could
// have a commit that no claimed replica has: it may hold commits that nobody
// was promised, and have no path to its replicas.
func newest(claims []claim, term siskin.Term, sync int) (claim, bool) {
	held := make([]claim, 0, len(claims))
	replicasMissing := 0
	for _, c := range claims {
		if c.holds(term) {
			held = append(held, c)
		} else if !c.primary {
			replicasMissing++
		}
	}
	if replicasMissing < sync && len(held) > 1 {
		held = slices.DeleteFunc(held, func(c claim) bool { return c.primary })
	}
	if len(held) == 0 {
		return claim{}, false
	}
	return slices.MaxFunc(held, func(a, b claim) int {
		return cmp.Or(
			a.status.Received.Compare(b.status.Received),
			-boolCompare(a.target.Draining, b.target.Draining),
			cmp.Compare(b.target.ID, a.target.ID),
		)
	}), true
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
