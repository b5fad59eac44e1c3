package elect

import (
	"slices"

	"siskintray.example/siskin"
)

// errUnlisted says that a target of a group is missing from discovery.
var errUnlisted = siskin.NewError(siskin.Unavailable, "the target is not listed")

// addUnlisted adds a failed claim for each target that discovery has dropped and
// whose successor it does not list.
func (c *change) addUnlisted() {
	c.claims = withUnlisted(c.claims, c.oldPrimary == "", c.e.cfg.Roster.Size(c.spec.Name))
}

// withUnlisted returns the claims of a group of the given size with a failed one for
// each target that is missing among them. Such a target may lead, or acknowledge
// commits as a replica, as may a successor from its first moment on. The old
// primary is the first one missing unless it is listed or not known.
func withUnlisted(claims []claim, oldUnknown bool, size int) []claim {
	claims = slices.DeleteFunc(claims, func(cl claim) bool { return cl.target.ID == "" })
	primaryListed := oldUnknown || slices.ContainsFunc(claims, func(cl claim) bool { return cl.wasPrimary })
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
