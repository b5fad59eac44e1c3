package siskin

import "cmp"

// Position is a log position together with the term it was written in.
// Positions of different terms belong to different branches of the log, so the
// term is compared first.
type Position struct {
	Term Term
	LSN  LSN
}

// Compare returns -1, 0 or +1 as p is before, at or after q.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.LSN, q.LSN)
}

// IsZero reports whether p is the position before the first write.
func (p Position) IsZero() bool { return p == Position{} }
