// Package home runs statements on the targets that a VM is the home of.
//
// A home owns the connections of a target. It queues statements per customer,
// brings each connection to the state of the caller's session, proves that the
// target is fit for the statement, and reports what is known of the outcome:
// answered, not run, or unknown.
package home
