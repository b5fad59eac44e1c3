// Package relay runs one transaction between a caller and a target connection.
//
// Home admits the transactions of the slots that this VM owns and runs them.
// Forwarder runs a transaction at the home of another VM, and Server accepts
// such transactions. Both sides speak the PostgreSQL protocol with two
// messages of their own: a header before a transaction's first batch and a
// failure in place of its answer.
package relay
