package group

import (
	"time"

	"siskintray.example/siskin"
)

// sampleCount is the largest number of samples kept; it covers 100 s at one per
// 200 ms.
const sampleCount = 512

// sample is one reading of the primary's position, taken at or after
// requestedAt.
type sample struct {
	pos         siskin.Position
	requestedAt time.Time
}

// samples measures staleness: the time since the newest confirmed position of
// the primary that a replica has applied was read. Samples that are not
// confirmed do not count, so that a replaced primary does not make a replica
// appear up to date.
type samples struct {
	list      []sample // ordered by time and position
	confirmed int      // number of leading samples that are confirmed
}

// add records a reading of the primary's position.
func (s *samples) add(pos siskin.Position, requestedAt time.Time) {
	if n := len(s.list); n > 0 {
		last := &s.list[n-1]
		switch {
		case pos.Term > last.pos.Term:
			s.list, s.confirmed = s.list[:0], 0
		case pos.Compare(last.pos) < 0 || !requestedAt.After(last.requestedAt):
			return // an outdated answer that arrived late
		case pos == last.pos && n > 1 && s.list[n-2].pos == pos:
			last.requestedAt = requestedAt // an idle primary needs only two entries
			return
		}
	}
	if len(s.list) == sampleCount {
		s.list = append(s.list[:0], s.list[1:]...)
		s.confirmed = max(0, s.confirmed-1)
	}
	s.list = append(s.list, sample{pos, requestedAt})
}

// confirm marks the samples as confirmed up to pos, which enough replicas have
// received.
func (s *samples) confirm(pos siskin.Position) {
	for s.confirmed < len(s.list) && s.list[s.confirmed].pos.Term == pos.Term && s.list[s.confirmed].pos.LSN <= pos.LSN {
		s.confirmed++
	}
}

// staleness returns the age of the data at a target, or -1 when unknown.
func (s *samples) staleness(now time.Time, st siskin.TargetStatus) time.Duration {
	for i := s.confirmed - 1; i >= 0; i-- {
		if p := s.list[i]; st.StreamTerm == p.pos.Term && st.Applied >= p.pos.LSN {
			return now.Sub(p.requestedAt)
		}
	}
	return -1
}
