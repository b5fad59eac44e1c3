package spread

import (
	"testing"

	"siskintray.example/siskin"
)

// TestSnapshotWriterCutOff guards against a head that grows until no change is
// accepted anymore, because the VM that should rewrite the snapshot cannot
// reach the platform.
func TestSnapshotWriterCutOff(t *testing.T) {
	_, _, all := startFleet(t, 4)
	var rev siskin.Revision
	var operator *node
	for _, n := range all {
		after, ok := n.snapshotThreshold()
		n.platformCutOff.Store(ok && after == n.cfg.SnapshotEvery)
		if !n.platformCutOff.Load() {
			operator = n
		}
	}
	for i := range 40 {
		rev = mustApply(t, operator, setTarget(string(rune('A'+i)), "s", "v"))
	}
	waitForRevision(t, all, rev, maxSpreadTime)
	for _, n := range all {
		n.writeSnapshotIfDue(0)
	}
	if got, err := operator.snapshotRevision(withTimeout(maxSpreadTime)); err != nil || got != rev {
		t.Errorf("snapshot: got revision %d (%v), want %d", got, err, rev)
	}
}
