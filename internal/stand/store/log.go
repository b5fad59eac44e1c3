package store

import (
	"sort"

	"siskintray.example/siskin"
)

// Segment is the part of a log that was written in one term.
type Segment struct {
	Term siskin.Term
	End  siskin.LSN
}

// Divergence returns the position up to which two logs with the given segments
// are equal. A term has one primary, so equal terms that start at the same
// position hold equal records.
func Divergence(a, b []Segment) siskin.LSN {
	var common siskin.LSN
	for i := range min(len(a), len(b)) {
		if a[i].Term != b[i].Term {
			break
		}
		common = min(a[i].End, b[i].End)
		if a[i].End != b[i].End {
			break
		}
	}
	return common
}

// recordLog is an append-only list of records that can be cut at its end.
type recordLog struct {
	records  []Record
	segments []Segment
}

func (l *recordLog) end() siskin.LSN {
	if len(l.records) == 0 {
		return 0
	}
	return l.records[len(l.records)-1].End
}

func (l *recordLog) lastTerm() siskin.Term {
	if len(l.records) == 0 {
		return 0
	}
	return l.records[len(l.records)-1].Term
}

func (l *recordLog) append(r Record) {
	l.records = append(l.records, r)
	if n := len(l.segments); n > 0 && l.segments[n-1].Term == r.Term {
		l.segments[n-1].End = r.End
		return
	}
	l.segments = append(l.segments, Segment{Term: r.Term, End: r.End})
}

// index returns the index of the first record that ends behind pos.
func (l *recordLog) index(pos siskin.LSN) int {
	return sort.Search(len(l.records), func(i int) bool { return l.records[i].End > pos })
}

// cut removes the records that end behind pos.
func (l *recordLog) cut(pos siskin.LSN) {
	l.records = l.records[:l.index(pos)]
	for n := len(l.segments); n > 0; n-- {
		start := siskin.LSN(0)
		if n > 1 {
			start = l.segments[n-2].End
		}
		if start < pos {
			l.segments[n-1].End = min(l.segments[n-1].End, pos)
			return
		}
		l.segments = l.segments[:n-1]
	}
}
