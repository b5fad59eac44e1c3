package sysd

import (
	"testing"
	"time"

	"siskintray.example/siskin/platform/stand"
)

// TestUnlistedReplica guards against acknowledged commits that are lost because
// only a replica which no list shows yet has received them: a change of primary
// neither claims nor counts it.
func TestUnlistedReplica(t *testing.T) {
	f := startFleet(t, 3)
	f.writeDuring(func() {
		primary := f.platform.Primary("ledger")
		replicas := f.platform.Targets("ledger")[1:]
		f.platform.SetStoreFaults(stand.StoreFaults{Down: true})
		for _, r := range replicas {
			r.SetReceiveBlocked(true)
		}
		time.Sleep(300 * time.Millisecond)
		if _, err := f.platform.AddTarget("ledger"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond)
		primary.Crash()
		f.awaitNewPrimary(string(primary.ID()))
		for _, r := range replicas {
			r.SetReceiveBlocked(false)
		}
		f.platform.SetStoreFaults(stand.StoreFaults{})
		if err := primary.Restart(); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
	})
}
