// Package spread replicates the configuration to every VM.
//
// The platform stores one object Config/Head with the current revision and the
// names of the latest change objects, the immutable change objects themselves,
// 256 snapshot objects Config/Shard/00 to ff, which a VM rewrites in the
// background, and Config/Snapshot with the revision that they cover. A
// conditional update of Config/Head commits a change. A VM has a revision in
// force when it has installed all documents up to that revision.
//
// The VM that commits a change pushes it to all others along a tree. Two VMs
// per data centre, the watchers, watch the head and push the changes that did
// not arrive. Every VM also exchanges revisions with a random VM each second
// (anti-entropy) and fetches the documents changed since its own revision. A
// document is never replaced by an older one, and a deleted document leaves a
// tombstone with its revision.
//
// Watchers obtain a proof every second that they have the newest revision. Each
// response to an exchange carries the age of the responding VM's proof, which
// bounds how long accepted changes may have been missing at the other VM. See
// ProofTracker.
package spread
