package limit

import (
	"testing"
	"unsafe"

	"siskintray.example/siskin"
)

// TestHoldingsOfOneBucket guards against customers in the same bucket that
// share or lose a holding.
func TestHoldingsOfOneBucket(t *testing.T) {
	var s holdings
	for i, id := range []siskin.CustomerID{"a", "b", "c"} {
		if s.get(id) != nil {
			t.Errorf("%s: got a holding before it was added", id)
		}
		s.add(id).units = siskin.QuotaUnits(i + 1)
	}
	var all []siskin.QuotaUnits
	for h := range s.all() {
		all = append(all, h.units)
	}
	if len(all) != 3 || s.get("a").units != 1 || s.get("b").units != 2 || s.get("c").units != 3 || s.get("") != nil {
		t.Errorf("got units %v and %+v, want one holding each of a, b and c", all, s)
	}
}

// TestBucketFillsCacheLines guards against a bucket that shares a cache line
// with its neighbor: an admission took 90 ns instead of 56 ns on one core.
func TestBucketFillsCacheLines(t *testing.T) {
	if unsafe.Sizeof(uintptr(0)) != 8 {
		t.Skip("the size is chosen for 64 bits")
	}
	if got := unsafe.Sizeof(bucket{}); got%64 != 0 {
		t.Errorf("got a bucket of %d bytes, want a multiple of 64", got)
	}
}
