// Package relay runs transactions between callers and target connections.
//
// Home admits the transactions of the slots that this VM owns and runs them.
// Forwarder runs a transaction at the home of another VM, and Server accepts
// such transactions. Both sides speak the PostgreSQL protocol with two
// additional messages: a header before the first batch of a transaction, and a
// failure in place of an answer.
package relay
