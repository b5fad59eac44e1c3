// Package lease bounds the time for which a VM may treat a target as the only
// primary of its service.
//
// If the platform does not check fencing tokens, a former primary continues to
// act as primary after another target was promoted, until it is told to step
// down or contacts the new one. Its own answers prove nothing in that time. A
// lease is therefore based on the replicas: a claimed replica acknowledges no
// commits of an earlier term. A change of primary claims so many of them that a
// former primary gets no commit acknowledged, and waits for PromotionDelay
// between its last claim and the promotion. A VM that knows of enough unclaimed
// replicas at some moment may use the primary for TTL after that moment. A
// primary that was made to step down refuses read-write transactions itself, so
// such a change need not wait.
//
// Commits are confirmed to callers only under a lease, even if the platform
// checks fencing tokens. A replica that restarts has lost its claim, and may
// acknowledge commits of a former primary that are missing on the target of a
// promotion in flight. The state of a recently restarted replica is therefore
// no evidence.
//
// Times come from a clock that includes suspensions, so a VM that resumes from
// a suspension holds no lease.
package lease
