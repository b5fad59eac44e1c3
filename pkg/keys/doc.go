// Package keys authenticates callers by key and revokes their grants when a key
// is withdrawn.
//
// Only SHA-256 digests of keys are stored. Keys are indexed by the first 8 bytes
// of their digest, so the cost of a lookup does not depend on the number of
// keys; the whole digest is then compared in constant time. The timing of the
// lookup by prefix is of no use to an attacker, since nobody can choose the
// digest of a key.
//
// A withdrawn key is never valid again, even if an older document is received
// later. When this data centre may have missed a withdrawal, MayAccept decides
// how long keys are still accepted.
package keys
