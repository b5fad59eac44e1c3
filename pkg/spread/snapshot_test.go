package spread

import (
	"testing"

	"siskintray.example/siskin"
)

// TestSnapshotWriterCutOff guards against changes that pile up in the head,
// until no more are accepted, because the VM that should rewrite the snapshot
// does not reach the platform.
func TestSnapshotWriterCutOff(t *testing.T) {
	_, _, all := fleet(t, 4)
	var rev siskin.Revision
	var operator *node
	for _, n := range all {
		after, ok := n.snapshotAfter()
		n.cutOff.Store(ok && after == n.cfg.SnapshotEvery)
		if !n.cutOff.Load() {
			operator = n
		}
	}
	for i := range 40 {
		rev = must(t, operator, set(string(rune('A'+i)), "s", "v"))
	}
	inForce(t, all, rev, limit)
	for _, n := range all {
		n.snapshotOnce(0)
	}
	if got, err := operator.snapshotRevision(within(limit)); err != nil || got != rev {
		t.Errorf("snapshot: got revision %d (%v), want %d", got, err, rev)
	}
}
