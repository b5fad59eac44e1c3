// Package elect changes the primaries of services.
//
// One VM watches each service: the home of its primary, which receives the
// primary's answers anyway. A change has three steps. First the VM claims
// targets for a new term: a claimed replica receives no log of an older term,
// and a claimed primary steps down. Then it checks that every set of targets
// that could have acknowledged a commit contains a claimed one. Then it
// promotes the claimed target with the newest log. Fencing tokens order the
// promotions of several VMs; the claims alone preserve acknowledged commits.
package elect
