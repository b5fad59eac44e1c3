// Package entry serves the sessions of callers at their entry VM.
//
// It answers what concerns the session alone, decides for each operation which
// target may run it and with which proof of freshness, sends it to the target's
// home, and turns what is known of the outcome into an answer. An answer that
// promises that nothing is kept is given only on proof.
package entry
