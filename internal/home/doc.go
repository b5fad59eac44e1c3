// Package home runs statements on the targets that a VM is the home of.
//
// A home owns the connections to a target. It queues statements per customer,
// applies the state of the caller's session to each connection, checks that the
// target meets the requirements of the statement, and reports its outcome:
// answered, not run, or unknown.
package home
