package elect

import (
	"cmp"
	"slices"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/lease"
)

// claim is the result of claiming one target.
type claim struct {
	target siskin.TargetInfo
	status siskin.ControlStatus
	// primary says that the target was held to lead before the change.
	primary bool
	// steppedDown says that the target led in the term led and was claimed by
	// making it step down, with end as the end of its log.
	steppedDown bool
	end         siskin.Position
	led         siskin.Term
	// demoted says that the target led in the term led and was claimed as a
	// replica after it had stepped down.
	demoted bool
	// overtook says that another change had claimed the target.
	overtook bool
	// at is the moment when the answer to the claim had come.
	at  time.Time
	err error
}

// holds reports whether the target is claimed for a term. A replica says so
// with the term of its pause; a later one means that another change has claimed
// it since. A primary that stepped down keeps no such term: it no longer leads,
// and its log has not shrunk by a new start.
func (c *claim) holds(term siskin.Term) bool {
	switch {
	case c.err != nil:
		return false
	case c.steppedDown:
		// Another term means that another target was promoted meanwhile.
		return !c.status.Primary && c.status.Term == c.led && c.status.Received.Compare(c.end) >= 0
	default:
		return c.status.HeldTerm == term
	}
}

// prospect reports whether enough targets answer for a claim of enough of them.
func prospect(claims []claim, sync int) bool {
	missing := 0
	for i := range claims {
		if claims[i].err != nil {
			missing++
		}
	}
	return missing <= max(sync, 1) && missing < len(claims)
}

// waitUntil returns the moment from which on no VM takes a former primary for
// the only one. With the newest primary made to step down that is at once,
// unless another change had claimed targets, whose order may be on its way.
func waitUntil(claims []claim, term siskin.Term, foreign bool) time.Time {
	var last time.Time
	var newest siskin.Term
	for i := range claims {
		c := &claims[i]
		if c.holds(term) && c.at.After(last) {
			last = c.at
		}
		if c.err == nil {
			newest = max(newest, c.status.Term)
		}
	}
	for i := range claims {
		if c := &claims[i]; c.demoted && c.holds(term) && c.led >= newest && !foreign {
			return time.Time{}
		}
	}
	return last.Add(lease.Wait)
}

// replicasAnswer reports whether enough replicas answer to take over from a
// primary that may have commits which some of them lack.
func replicasAnswer(claims []claim, sync int) bool {
	replicas, missing := 0, 0
	for i := range claims {
		if claims[i].primary {
			continue
		}
		if replicas++; claims[i].err != nil {
			missing++
		}
	}
	return replicas > missing && missing < max(sync, 1)
}

// enough reports whether every set of targets that could have acknowledged a
// commit contains a claimed one. A commit is acknowledged by the primary and
// sync replicas, so at most sync targets may be missing; a claimed primary has
// every commit itself.
func enough(claims []claim, term siskin.Term, sync int) bool {
	missing := 0
	for i := range claims {
		c := &claims[i]
		switch {
		case c.holds(term) && c.steppedDown:
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
			-boolCompare(leaving(&a.target), leaving(&b.target)),
			-boolCompare(a.target.Warming > 0, b.target.Warming > 0), // a cold one bears few statements
			cmp.Compare(b.target.ID, a.target.ID),
		)
	}), true
}

// leaving reports whether a target is to lead only when no other one can.
func leaving(t *siskin.TargetInfo) bool { return t.Draining || t.Evacuated }

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
