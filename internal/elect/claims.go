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
	// wasPrimary reports that the target was considered primary before the
	// change.
	wasPrimary bool
	// claimedByStepDown reports that the target was primary in termAsPrimary
	// and was claimed by making it step down, with logEnd as the end of its
	// log.
	claimedByStepDown bool
	logEnd            siskin.Position
	termAsPrimary     siskin.Term
	// claimedAfterStepDown reports that the target was primary in termAsPrimary
	// and was claimed as a replica after it had stepped down. It replaces
	// claimedByStepDown if the platform checks no fencing tokens.
	claimedAfterStepDown bool
	// logEmpty reports that the target has started for the first time or
	// restarted, and has no log yet. It, or the target that it replaces, may
	// have acknowledged commits before.
	logEmpty bool
	// covered reports that the target is a draining replica whose commits the
	// staying targets have. Its claim is not needed.
	covered bool
	// contested reports that another change had claimed the target.
	contested bool
	// answeredAt is the moment when the answer to the claim was received.
	answeredAt time.Time
	err        error
}

const (
	// termMargin raises the term of claims above that of a primary whose term
	// is newer than the ones known to the targets that answer. A replica that is
	// paused for its term or a lower one still acknowledges its commits.
	termMargin siskin.Term = 1000
	// termJitter bounds the random part of a term, which makes the terms of two
	// simultaneous changes differ.
	termJitter siskin.Term = 1 << 16
)

// claimTerm returns the term for claims of targets whose newest known term is
// given.
func claimTerm(newest, random siskin.Term) siskin.Term { return newest + termMargin + random }

// errClaimed reports that another change has claimed a target for the same
// term, made it step down, or promoted another target.
var errClaimed = siskin.NewError(siskin.Conflict, "another change has claimed the target")

// recordResult records the result of a claim for a term, given the target's
// state before it. A target that answered as primary in inspect (ledBefore) was
// told to step down; primaryTerm is the newest term known then. A claim for
// ownTerm belongs to an earlier change of this VM that ordered no promotion, so
// it is not contested.
func (c *claim) recordResult(before siskin.ControlStatus, term, primaryTerm, ownTerm siskin.Term, answeredAsPrimary, unfenced bool) {
	c.contested = before.PauseTerm > before.Term && before.PauseTerm != ownTerm
	switch {
	case c.err != nil:
	case before.Term > primaryTerm:
		c.err = errClaimed
	case c.contested && before.PauseTerm >= term, answeredAsPrimary && !before.Primary && !unfenced:
		// A replica also accepts StepDown, so its success does not prove that
		// the target was primary.
		c.contested, c.err = true, errClaimed
	case unfenced:
		c.claimedAfterStepDown, c.termAsPrimary = before.Primary, before.Term
	case answeredAsPrimary:
		c.claimedByStepDown, c.logEnd, c.termAsPrimary = true, c.status.Received, before.Term
	}
}

// holds reports whether the target is claimed for a term. A claim pauses a
// replica for that term, which it reports as PauseTerm; a later PauseTerm means
// that another change has claimed it since. A primary that stepped down keeps
// no such term: it must still not be primary, and its log must not have shrunk
// in a restart.
func (c *claim) holds(term siskin.Term) bool {
	switch {
	case c.err != nil:
		return false
	case c.claimedByStepDown:
		// Another term means that another target was promoted in the meantime.
		return !c.status.Primary && c.status.Term == c.termAsPrimary && c.status.Received.Compare(c.logEnd) >= 0 &&
			c.status.PauseTerm <= max(term, c.termAsPrimary)
	default:
		return c.status.PauseTerm == term
	}
}

// contestedDelay is the time from the last claim to the promotion in a
// contested change. The other change may have ordered a promotion up to
// maxFencedCheckAge after its claims were checked, and the platform carries it
// out within a second. Its target could have acknowledged commits before the
// candidate of this change is primary.
const contestedDelay = maxFencedCheckAge + 1100*time.Millisecond

// promotionTime returns the earliest moment at which the promotion may be
// ordered: no promotion of another change is in flight, and no VM holds a lease
// on a former primary, so no VM confirms its commits or treats it as the only
// primary. If the newest primary was made to step down, this is the case at
// once.
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
		if c := &claims[i]; (c.claimedAfterStepDown || c.claimedByStepDown) && c.holds(term) && c.termAsPrimary >= newest {
			return time.Time{}
		}
	}
	return last.Add(lease.PromotionDelay)
}

// bestCandidate returns the claimed target to promote: the one with the newest
// log, and among equals one that is neither draining nor evacuated. A covered
// one is chosen only if there is no other, since its commits that the others
// lack were acknowledged to no caller. The old
// primary is chosen only if it could have a commit that no claimed replica has,
// because it may hold unacknowledged commits and be cut off from its replicas.
func bestCandidate(claims []claim, term siskin.Term, sync int) (claim, bool) {
	claimed := make([]claim, 0, len(claims))
	replicasMissing := 0
	for _, c := range claims {
		if c.holds(term) {
			claimed = append(claimed, c)
		}
		if (!c.holds(term) || c.logEmpty) && !c.wasPrimary && !c.covered {
			replicasMissing++
		}
	}
	if slices.ContainsFunc(claimed, func(c claim) bool { return !c.covered }) {
		claimed = slices.DeleteFunc(claimed, func(c claim) bool { return c.covered })
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
			-boolCompare(a.target.ColdRemaining > 0, b.target.ColdRemaining > 0), // a cold target is limited to few statements
			cmp.Compare(b.target.ID, a.target.ID),
		)
	}), true
}

// notFollowed reports whether no claimed replica followed a primary that
// stepped down. Without fencing tokens, the replicas may have restarted and
// followed a former primary.
func notFollowed(claimed []claim, primary *claim) bool {
	return primary.claimedAfterStepDown && !slices.ContainsFunc(claimed, func(c claim) bool { return !c.wasPrimary && c.status.Term >= primary.termAsPrimary })
}

// avoidAsPrimary reports whether a target should be promoted only if no other
// one can.
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
