package front

import (
	"testing"
	"time"
)

// TestTargetEndsInMiddleOfRow guards against a caller that reads an error or a
// later answer as the rest of a row, after the target closed its connection in
// the middle of the row, and against one that waits for the rest.
func TestTargetEndsInMiddleOfRow(t *testing.T) {
	f := startFleet(t, 2, nil)
	f.firstOwnsAll.Store(true) // so that the second VM forwards
	for _, vm := range f.vms {
		vm.ownSlots()
	}
	f.dialCanned(cannedTarget{rows: 3, truncated: true})
	for _, vm := range f.vms {
		for _, route := range []string{"read", "write"} {
			c := vm.connectRaw(t, "badges/"+route)
			start := time.Now()
			a := c.query("select v from kv")
			if got, want := time.Since(start), 3*time.Second; got > want || a.status != 0 || len(a.values) != 3 {
				t.Errorf("%s, %s: got %d rows and status %q after %v, want 3 rows and the end of the connection within %v", vm.id, route, len(a.values), a.status, got, want)
			}
		}
	}
}
