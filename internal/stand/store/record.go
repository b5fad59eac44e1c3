package store

import "siskintray.example/siskin"

// recordOverhead is the size of a record without its data, so that a record
// without changes moves the log position too.
const recordOverhead = 32

// Op is one change of the table. Delete removes Key; Insert says that the
// commit must fail when Key exists.
type Op struct {
	Key, Value     string
	Delete, Insert bool
}

// Record is one committed transaction. A record without changes marks the
// start of a term.
type Record struct {
	Term siskin.Term
	End  siskin.LSN // position behind the record
	Ops  []Op
}

func size(ops []Op) siskin.LSN {
	n := recordOverhead
	for _, op := range ops {
		n += len(op.Key) + len(op.Value)
	}
	return siskin.LSN(n)
}
