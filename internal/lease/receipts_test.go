package lease

import (
	"testing"

	"siskintray.example/siskin"
)

// TestReceipts guards against commits that count as received although a change
// of primary may promote a target that lacks them.
func TestReceipts(t *testing.T) {
	pos := func(term, lsn int) siskin.Position {
		return siskin.Position{Term: siskin.Term(term), LSN: siskin.LSN(lsn)}
	}
	for _, c := range []struct {
		name             string
		needed, replicas int
		settled, others  []siskin.Position
		want             siskin.Position
	}{
		{"one has it", 1, 2, []siskin.Position{pos(1, 5), pos(1, 9)}, nil, pos(1, 9)},
		{"one of two that must", 2, 2, []siskin.Position{pos(1, 9), pos(1, 5)}, nil, pos(1, 5)},
		{"too few answer", 2, 2, []siskin.Position{pos(1, 9)}, nil, siskin.Position{}},
		{"none answers", 1, 2, nil, nil, siskin.Position{}},
		{"none is listed", 1, 0, nil, nil, siskin.Position{}},
		{"a later term has another log", 1, 2, []siskin.Position{pos(1, 9), pos(2, 3)}, nil, pos(2, 3)},
		{"one that has just joined", 1, 2, nil, []siskin.Position{pos(1, 9)}, siskin.Position{}},
		{"all, one has just joined and has more", 1, 2, []siskin.Position{pos(1, 5)}, []siskin.Position{pos(1, 9)}, pos(1, 5)},
		{"all have just joined", 1, 2, nil, []siskin.Position{pos(1, 8), pos(1, 9)}, pos(1, 8)},
		{"all of an incomplete group have just joined", 1, 3, nil, []siskin.Position{pos(1, 8), pos(1, 9)}, siskin.Position{}},
	} {
		r := Receipts{Needed: c.needed, Replicas: c.replicas}
		for _, p := range c.settled {
			r.Add(p, true)
		}
		for _, p := range c.others {
			r.Add(p, false)
		}
		if got := r.Received(); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
