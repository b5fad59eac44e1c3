// Package lease bounds the time for which a VM may take a target for the only
// primary of its service.
//
// Where the platform checks no fences, a former primary goes on leading after
// another target was promoted, until it is told to step down or meets the new
// one. Its own answers prove nothing then. A lease rests on the replicas: a
// change of primary claims so many of them that a former primary gets no commit
// acknowledged, and waits for Wait between its last claim and the promotion. A
// VM that knows of enough unclaimed replicas at a moment may therefore use the
// primary until Life later. A primary that was made to step down refuses plain
// transactions itself, so that such a change need not wait.
//
// Commits are passed on to callers under a lease only, also where the platform
// checks fences. A replica that starts again has forgotten its claim, and may
// acknowledge commits of a former primary which the target of an order that is on
// its way lacks. So the state of such a replica is no evidence for a while.
//
// Times are those of a clock that counts suspensions, so that a VM which wakes
// holds no lease.
package lease
