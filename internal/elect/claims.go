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
	// wasPrimary says that the target was held to lead before the change.
	wasPrimary bool
	// steppedDown says that the target led in the term led and was claimed by
	// making it step down, with end as the end of its log.
	steppedDown bool
	logEnd      siskin.Position
	ledTerm     siskin.Term
	// demoted says that the target led in the term led and was claimed as a
	// replica after it had stepped down.
	demoted bool
	// logEmpty says that the target has started again, or for the first time, and has
	// no log yet: it may have acknowledged commits before, or its predecessor.
	logEmpty bool
	// contested says that another change had claimed the target.
	contested bool
	// answeredAt is the moment when the answer to the claim had come.
	answeredAt time.Time
	err        error
}

const (
	// termMargin lifts the term of claims above that of a primary which leads a later
	// term than the targets that answer know of. A pause for its term or a lower one
	// would not keep them from acknowledging its commits.
	termMargin siskin.Term = 1000
	// termJitter makes the terms of two changes that begin at once differ.
	termJitter siskin.Term = 1 << 16
)

// claimTerm returns the term for claims over targets that know of the given one.
func claimTerm(newest, random siskin.Term) siskin.Term { return newest + termMargin + random }

// errClaimed says that another change has claimed a target for the same term, made
// it step down, or promoted another one.
var errClaimed = siskin.NewError(siskin.Conflict, "another change has claimed the target")

// recordResult takes over the result of a claim for a term, from the target's state
// before it. A target that led when it was asked first was told to step down; the
// newest term known then is leadTerm. A claim for the term own, of an earlier change
// of this VM that ordered nothing, is no other change's.
func (c *claim) recordResult(before siskin.ControlStatus, term, primaryTerm, ownTerm siskin.Term, ledBefore, unfenced bool) {
	c.contested = before.PauseTerm > before.Term && before.PauseTerm != ownTerm
	switch {
	case c.err != nil:
	case before.Term > primaryTerm:
		c.err = errClaimed
	case c.contested && before.PauseTerm >= term, ledBefore && !before.Primary && !unfenced:
		// A replica accepts to step down as well, and proves nothing by it.
		c.contested, c.err = true, errClaimed
	case unfenced:
		c.demoted, c.ledTerm = before.Primary, before.Term
	case ledBefore:
		c.steppedDown, c.logEnd, c.ledTerm = true, c.status.Received, before.Term
	}
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
		return !c.status.Primary && c.status.Term == c.ledTerm && c.status.Received.Compare(c.logEnd) >= 0 &&
			c.status.PauseTerm <= max(term, c.ledTerm)
	default:
		return c.status.PauseTerm == term
	}
}

// canSucceed reports whether enough targets answer for a claim of enough of them.
func canSucceed(claims []claim, sync int) bool {
	missing := 0
	for i := range claims {
		if claims[i].err != nil {
			missing++
		}
	}
	return missing <= max(sync, 1) && missing < len(claims)
}

// markEmptyLogs finds the targets without a log in a service that has commits. The end of
// the log of the last known primary tells of commits that no target answers for.
func markEmptyLogs(claims []claim, known siskin.Position) {
	written := known.LSN != 0
	for i := range claims {
		written = written || claims[i].status.Received.LSN != 0
	}
	for i := range claims {
		c := &claims[i]
		c.logEmpty = written && c.err == nil && c.status.Received.LSN == 0
	}
}

// contestedDelay is the time from the last claim to the promotion in a change that took
// claims over. The other change may have ordered a promotion up to maxFencedAge
// after its claims were checked, and the platform carries it out within a second. Its
// target could have acknowledged commits before this change's target leads.
const contestedDelay = maxFencedCheckAge + 1100*time.Millisecond

// promotionTime returns the moment from which on a promotion may be ordered: no other
// change's order is on its way, and no VM has a lease of a former primary, so that
// none passes on commits or takes it for the only one. With the newest primary made
// to step down none does at once.
func promotionTime(claims []claim, term siskin.Term, contested bool) time.Time {
	var last time.Time
	var newest siskin.Term
	for i := range claims {
		c := &claims[i]
		if c.holds(term) && c.answeredAt.After(last) {
			last = c.answeredAt
		}
		if c.err == nil {
			newest = max(newest, c.status.Term)
		}
	}
	if contested {
		return last.Add(contestedDelay)
	}
	for i := range claims {
		if c := &claims[i]; (c.demoted || c.steppedDown) && c.holds(term) && c.ledTerm >= newest {
			return time.Time{}
		}
	}
	return last.Add(lease.PromotionDelay)
}

// replicasAnswer reports whether enough replicas answer to take over from a
// primary that may have commits which some of them lack.
func replicasAnswer(claims []claim, sync int) bool {
	replicas, missing := 0, 0
	for i := range claims {
		if claims[i].wasPrimary {
			continue
		}
		if replicas++; claims[i].err != nil || claims[i].logEmpty {
			missing++
		}
	}
	return replicas > missing && missing < max(sync, 1)
}

// hasQuorum reports whether every set of targets that could have acknowledged a
// commit contains a claimed one. A commit is acknowledged by the primary and
// sync replicas, so at most sync targets may be missing. A primary that stepped down
// has every commit itself, but its claim alone shares no target with those of another
// change, which may have promoted since. Targets without a log count as missing,
// except when all are claimed and none can have more.
func hasQuorum(claims []claim, term siskin.Term, sync int) bool {
	missing, empty := 0, 0
	for i := range claims {
		c := &claims[i]
		switch {
		case !c.holds(term):
			missing++
		case c.logEmpty:
			empty++
		}
	}
	if missing > 0 {
		missing += empty
	}
	return missing <= max(sync, 1) && missing < len(claims)
}

// bestCandidate returns the claimed target to promote: the one with the bestCandidate log,
// and among equals one that stays. The old primary is chosen only when it could
// have a commit that no claimed replica has: it may hold commits that nobody
// was promised, and have no path to its replicas.
func bestCandidate(claims []claim, term siskin.Term, sync int) (claim, bool) {
	claimed := make([]claim, 0, len(claims))
	replicasMissing := 0
	for _, c := range claims {
		if c.holds(term) {
			claimed = append(claimed, c)
		}
		if (!c.holds(term) || c.logEmpty) && !c.wasPrimary {
			replicasMissing++
		}
	}
	if replicasMissing < sync && len(claimed) > 1 {
		claimed = slices.DeleteFunc(claimed, func(c claim) bool { return c.wasPrimary && !notFollowed(claimed, &c) })
	}
	if len(claimed) == 0 {
		return claim{}, false
	}
	return slices.MaxFunc(claimed, func(a, b claim) int {
		return cmp.Or(
			a.status.Received.Compare(b.status.Received),
			-boolCompare(avoidAsPrimary(&a.target), avoidAsPrimary(&b.target)),
			-boolCompare(a.target.ColdRemaining > 0, b.target.ColdRemaining > 0), // a cold one bears few statements
			cmp.Compare(b.target.ID, a.target.ID),
		)
	}), true
}

// notFollowed reports whether no claimed replica followed a primary that stepped down. Where
// former primaries lead on, they may have started again and followed one.
func notFollowed(claimed []claim, primary *claim) bool {
	return primary.demoted && !slices.ContainsFunc(claimed, func(c claim) bool { return !c.wasPrimary && c.status.Term >= primary.ledTerm })
}

// avoidAsPrimary reports whether a target is to lead only when no other one can.
func avoidAsPrimary(t *siskin.TargetInfo) bool { return t.Draining || t.Evacuated }

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
