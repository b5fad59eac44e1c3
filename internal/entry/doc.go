// Package entry serves the sessions of callers at the VM that they connect to.
//
// It answers statements that only concern the session, chooses for each other
// operation the target and the required proof of freshness, sends the
// operation to the home of the target, and turns the known outcome into an
// answer. An answer states that an operation had no effect only if that is
// proven.
package entry
