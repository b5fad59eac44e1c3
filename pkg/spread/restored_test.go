package spread

import (
	"testing"
	"time"
)

// TestChangeAfterRestore guards against a change that is accepted and not in
// force, because a platform that returned from an older copy gives out its
// revision again.
func TestChangeAfterRestore(t *testing.T) {
	platform, _, all := startFleet(t, 3)
	waitForRevision(t, all, mustApply(t, all[0], setTarget("op-1", "s", "first")), 5*time.Second)
	older := platform.CopyObjects()
	waitForRevision(t, all, mustApply(t, all[0], setTarget("op-2", "s", "second")), 5*time.Second)
	platform.RestoreObjects(older)
	mustApply(t, all[0], setTarget("op-3", "s", "third"))
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		current := 0
		for _, n := range all {
			if targetAddress(n, "s") == "third" {
				current++
			}
		}
		if current == len(all) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("VMs with the change in force after 5s: got %d, want %d", current, len(all))
		}
	}
}
