// Package elect changes the primaries of services.
//
// One VM watches each service: the home of its primary, which sees the
// primary's answers anyway. A change has three steps. The VM claims targets
// for a new term: a claimed replica receives no log of an older term, and a
// claimed primary leads no more. It promotes the claimed target with the newest
// log once every set of targets that could have acknowledged a commit contains
// a claimed one. Fences order the promotions of several VMs; the claims alone
// keep acknowledged commits.
package elect
