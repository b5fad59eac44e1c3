package lease

import (
	"testing"

	"siskintray.example/siskin"
)

// TestReceipts guards against commits that count as received although fewer
// replicas than needed have them.
func TestReceipts(t *testing.T) {
	pos := func(term, lsn int) siskin.Position {
		return siskin.Position{Term: siskin.Term(term), LSN: siskin.LSN(lsn)}
	}
	for _, c := range []struct {
		name   string
		needed int
		ends   []siskin.Position
		want   siskin.Position
	}{
		{"one has it", 1, []siskin.Position{pos(1, 5), pos(1, 9)}, pos(1, 9)},
		{"one of two that must", 2, []siskin.Position{pos(1, 9), pos(1, 5)}, pos(1, 5)},
		{"too few answer", 2, []siskin.Position{pos(1, 9)}, siskin.Position{}},
		{"none answers", 1, nil, siskin.Position{}},
		{"a later term has another log", 1, []siskin.Position{pos(1, 9), pos(2, 3)}, pos(2, 3)},
	} {
		r := Receipts{Needed: c.needed}
		for _, p := range c.ends {
			r.Add(p)
		}
		if got := r.Received(); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
