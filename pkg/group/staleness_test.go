package group

import (
	"testing"
	"time"

	"siskintray.example/siskin"
)

// TestStalenessNeedsConfirmedSamples guards against a replica that appears up
// to date because of a sample of a replaced primary or of an unconfirmed one.
func TestStalenessNeedsConfirmedSamples(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	pos := func(term, lsn uint64) siskin.Position {
		return siskin.Position{Term: siskin.Term(term), LSN: siskin.LSN(lsn)}
	}
	var s samples
	check := func(step string, term, applied uint64, want time.Duration) {
		t.Helper()
		st := siskin.TargetStatus{StreamTerm: siskin.Term(term), Applied: siskin.LSN(applied)}
		if got := s.staleness(at(10), st); got != want {
			t.Errorf("%s: got %v, want %v", step, got, want)
		}
	}
	check("no sample", 1, 100, -1)
	s.add(pos(1, 100), at(1))
	s.add(pos(1, 200), at(5))
	check("not confirmed", 1, 200, -1)
	s.confirm(pos(1, 150))
	check("first confirmed", 1, 200, 9*time.Second)
	s.confirm(pos(1, 200))
	check("both confirmed", 1, 200, 5*time.Second)
	check("not applied", 1, 150, 9*time.Second)
	check("other stream", 2, 200, -1)
	s.add(pos(1, 200), at(7))
	s.add(pos(1, 200), at(8))
	s.confirm(pos(1, 200))
	check("idle primary", 1, 200, 2*time.Second)
	s.add(pos(1, 300), at(9)) // of a primary that has been cut off
	s.confirm(pos(2, 400))
	check("confirmed in another term only", 1, 300, 2*time.Second)
	s.add(pos(2, 250), at(9))
	check("new term not confirmed", 2, 300, -1)
}
