// Package spread keeps the configuration in force at every VM.
//
// The platform holds one object Config/Head with the revision and the names of
// the latest change objects, the immutable change objects themselves, 256
// snapshot objects Config/Shard/00 to ff, which a VM rewrites in the
// background, and Config/Snapshot with the revision that they cover. A change
// becomes current by one conditional update of Config/Head.
//
// The VM that makes a change pushes it to all others along a tree. Two VMs per
// data centre watch the head and push what did not arrive. Every VM compares
// revisions with a random VM each second and fetches the documents changed
// since its own. A document is never replaced by an older one, and a deleted
// document leaves a tombstone with its revision.
//
// Watchers have proof every second that they know the newest revision. Each
// answer to an exchange carries the age of the proof of the VM that gives it, so
// that a VM knows how long it may go without an accepted change. See ProofTracker.
package spread
