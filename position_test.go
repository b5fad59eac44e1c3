package siskin

import "testing"

// TestPositionComparesTermFirst guards against a comparison by log position
// alone, which would treat the longer log of a replaced primary as the newer one.
func TestPositionComparesTermFirst(t *testing.T) {
	old := Position{Term: 3, LSN: 900}
	new := Position{Term: 4, LSN: 100}
	if got, want := old.Compare(new), -1; got != want {
		t.Errorf("Compare: got %d, want %d", got, want)
	}
	if got, want := new.Compare(new), 0; got != want {
		t.Errorf("Compare: got %d, want %d", got, want)
	}
}
