// Package keys authenticates callers by key and ends grants when a key is
// withdrawn.
//
// Only SHA-256 digests of keys are held. A key is found by the first 8 bytes
// of its digest, so a start-up costs the same however many keys there are; the
// whole digest is then compared in constant time. The lookup by prefix tells a
// caller nothing that helps, since nobody can choose the digest of a key.
//
// A withdrawn key never comes back, even when an older document shows up. When
// this data centre may have missed a withdrawal, Decide says how long keys go
// on working.
package keys
