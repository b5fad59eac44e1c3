package elect

import (
	"slices"

	"siskintray.example/siskin"
)

// errUnlisted says that a target of a group is missing from discovery.
var errUnlisted = siskin.NewError(siskin.Unavailable, "the target is not listed")

// addUnlisted adds a failed claim for each target that discovery has dropped and
// whose successor it does not list. Such a target may lead, or acknowledge commits
// as a replica, as may a successor from its first moment on.
func (c *change) addUnlisted() {
	c.claims = slices.DeleteFunc(c.claims, func(cl claim) bool { return cl.target.ID == "" })
	primaryListed := c.old == "" || slices.ContainsFunc(c.claims, func(cl claim) bool { return cl.primary })
	for n := c.e.cfg.Roster.Size(c.spec.Name) - len(c.claims); n > 0; n-- {
		c.claims = append(c.claims, claim{primary: !primaryListed, err: errUnlisted})
		primaryListed = true
	}
}

// newcomer returns a target that discovery lists and this change has not tried to
// claim.
func (c *change) newcomer() (siskin.TargetID, bool) {
	for _, t := range c.e.cfg.Roster.Service(c.spec.Name) {
		if !slices.ContainsFunc(c.claims, func(cl claim) bool { return cl.target.ID == t.ID }) {
			return t.ID, true
		}
	}
	return "", false
}
