package place

import (
	"slices"
	"testing"

	"siskintray.example/siskin"
)

// TestRanker guards against cached ranks of an earlier list of VMs.
func TestRanker(t *testing.T) {
	var r Ranker
	lists := [][]siskin.VM{
		{{ID: "a", DataCentre: "x"}, {ID: "b", DataCentre: "y"}, {ID: "c", DataCentre: "x"}},
		{{ID: "a", DataCentre: "x"}, {ID: "d", DataCentre: "x"}, {ID: "c", DataCentre: "x"}},
		{},
	}
	inX := func(vms []siskin.VM) []siskin.VM { return PreferDataCentre("x", vms) }
	for _, vms := range lists {
		for range 2 {
			if got, want := r.Rank("s", vms, inX), Rank("s", PreferDataCentre("x", vms)); !slices.Equal(got, want) {
				t.Errorf("rank in a data centre: got %v, want %v", got, want)
			}
			if got, want := r.Rank("t", vms, nil), Rank("t", vms); !slices.Equal(got, want) {
				t.Errorf("rank of all: got %v, want %v", got, want)
			}
		}
	}
}
