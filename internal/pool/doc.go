// Package pool manages the connections to the target slots that this VM owns.
//
// A connection is handed out only if it is idle and its session state was
// reset. The number of connections of a slot never exceeds its limit, counted
// over both accounts and including connections that are being opened.
package pool
