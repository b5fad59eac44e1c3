// Package pool holds the connections of the target slots that this VM owns.
//
// A connection is handed out only when it is idle and its session state was
// reset. The number of connections of a slot never exceeds its limit, counted
// over both accounts and over connections that are still opening.
package pool
