package elect

import (
	"slices"

	"siskintray.example/siskin"
)

// errUnlisted is the error of a target that discovery does not list.
var errUnlisted = siskin.NewError(siskin.Unavailable, "the target is missing from service discovery")

// addUnlisted adds a failed claim for each target that discovery has removed
// without listing its replacement.
func (c *change) addUnlisted() {
	c.claims = withUnlisted(c.claims, c.oldPrimary == "", c.e.cfg.Roster.Size(c.spec.Name))
}

// withUnlisted returns the claims of a group of the given size, with a failed
// claim for each missing target. Such a target may be primary, or acknowledge
// commits as a replica, as may its replacement as soon as it starts. The old
// primary is the first missing target unless it is listed or unknown.
func withUnlisted(claims []claim, oldUnknown bool, size int) []claim {
	claims = slices.DeleteFunc(claims, func(cl claim) bool { return cl.target.ID == "" })
	primaryListed := oldUnknown || slices.ContainsFunc(claims, func(cl claim) bool { return cl.wasPrimary })
	for i := range claims {
		if claims[i].covered {
			size++ // it is not part of the group any more
		}
	}
	for n := size - len(claims); n > 0; n-- {
		claims = append(claims, claim{wasPrimary: !primaryListed, err: errUnlisted})
		primaryListed = true
	}
	return claims
}

// joinedTarget returns a listed target that a change has not tried to claim.
func joinedTarget(claims []claim, listed []siskin.TargetInfo) (siskin.TargetID, bool) {
	for _, t := range listed {
		if !slices.ContainsFunc(claims, func(cl claim) bool { return cl.target.ID == t.ID }) {
			return t.ID, true
		}
	}
	return "", false
}
