package sysd

import (
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/platform/stand"
)

// TestOddEntriesAmongTargets guards against VMs that stop following the list of
// targets, read from the store or passed on by a peer, because of one entry of
// another writer.
func TestOddEntriesAmongTargets(t *testing.T) {
	for _, c := range []struct {
		name  string
		value []byte
	}{
		{"nested", stand.EntryWith("more", stand.Nested(20000))},
		{"slots", stand.EntryWith("slots", "9223372036854775807")},
		{"start", stand.EntryWith("born", "9000000000000000000")},
		{"port", stand.EntryWith("addr", `"127.0.0.1:70000"`)},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t, 2)
			f.withoutStore[2] = true
			f.set(2, f.start(2))
			f.await("the VM without the store is ready", 10*time.Second, f.node(2).ready)
			f.platform.PutRaw("servers", "odd", c.value)
			time.Sleep(2 * time.Second) // all VMs have read or got a list with it
			target := f.platform.Targets("ledger")[2]
			f.platform.SetDraining(target)
			f.await("no VM uses the target that leaves", 7*time.Second, func() bool {
				for _, n := range f.nodes {
					if !n.roster.Leaving(siskin.TargetID(target.ID()), n.clock.Now()) {
						return false
					}
				}
				return true
			})
			c := f.mustDial(2, "orders")
			f.mustQuery(c, "WRITE order-1 paid")
		})
	}
}
