package siskin_test

import (
	"testing"

	"siskintray.example/siskin"
)

// TestVersions guards against versions of a new era that are lower than earlier
// ones, and against ones that lose digits as floating-point numbers.
func TestVersions(t *testing.T) {
	const lastRevision = 1<<40 - 1
	var last siskin.Version
	for _, c := range []struct {
		era      siskin.Era
		revision uint64
	}{{1, 1}, {1, lastRevision}, {2, 1}, {2, 7}, {3, 1}, {8192, lastRevision}} {
		v, err := siskin.NewVersion(c.era, c.revision)
		if err != nil || v <= last || v.Era() != c.era || v.Revision() != c.revision || siskin.Version(float64(v)) != v {
			t.Errorf("era %d, revision %d: got %d (era %d, revision %d) after %d and %v", c.era, c.revision, v, v.Era(), v.Revision(), last, err)
		}
		last = v
	}
	if v, err := siskin.NewVersion(1, 27); err != nil || v != 27 {
		t.Errorf("first era: got %d and %v, want the revision", v, err)
	}
	for _, c := range []struct {
		era      siskin.Era
		revision uint64
	}{{0, 1}, {8193, 1}, {1 << 63, 1}, {1, 1 << 40}} {
		if _, err := siskin.NewVersion(c.era, c.revision); siskin.KindOf(err) != siskin.BadInput {
			t.Errorf("era %d, revision %d: got %v, want kind BadInput", c.era, c.revision, err)
		}
	}
}
