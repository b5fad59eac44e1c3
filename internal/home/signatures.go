package home

import "github.com/cespare/xxhash/v2"

// keptSignatures is the number of answers for which a connection remembers the
// signature. A repeated answer that is later than that is taken for a new one.
const keptSignatures = 128

// signatures holds the digests of the latest signatures of a connection.
type signatures struct {
	list [keptSignatures]uint64
	n    int
}

// add records a signature, and reports whether it is new.
func (s *signatures) add(signature string) bool {
	digest := xxhash.Sum64String(signature)
	for i := range min(s.n, keptSignatures) {
		if s.list[i] == digest {
			return false
		}
	}
	s.list[s.n%keptSignatures] = digest
	s.n++
	return true
}
