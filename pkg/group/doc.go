// Package group implements failover for one replication group: it probes the
// targets, detects a failed primary, promotes a replica, confirms commits and
// determines the read floor.
//
// All decisions are made by a state machine without I/O (machine) and by the
// record of replica confirmations (tracker). Group drives both: it calls the
// targets and passes their answers on as events. Before a promotion, a VM
// claims a quorum of targets for a new term; a claimed target accepts no log of
// an earlier term. Safety depends only on terms and claims. Clocks and ranks
// decide when to act, never whether an action is safe.
package group
