package sysd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/logs"
	"siskintray.example/siskin/platform"
)

// lostWrites is the number of writes that a restored store has lost in these
// tests. Targets do not raise its version again by themselves.
const lostWrites = 40

// copyAndWrite copies the store and makes the writes that a restore loses. All
// VMs have read the store afterwards.
func (f *testFleet) copyAndWrite() {
	f.t.Helper()
	f.platform.CopyStore()
	f.writeOthers("before", lostWrites)
	start := time.Now()
	f.await("each VM has read the store after the writes", 10*time.Second, func() bool {
		for _, n := range f.nodes {
			_, listed := n.roster.Version()
			if n.clock.Since(listed) > time.Since(start) || n.clock.Since(n.table.Confirmed()) > time.Since(start) {
				return false
			}
		}
		return true
	})
}

// writeOthers raises the store's version by n.
func (f *testFleet) writeOthers(prefix string, n int) {
	for i := range n {
		f.platform.Put("others", fmt.Sprintf("%s-%d", prefix, i), i)
	}
}

// TestTargetLeavesAfterRestore guards against statements for a target that has
// left since the store returned from an older copy.
func TestTargetLeavesAfterRestore(t *testing.T) {
	f := startFleet(t, 3)
	f.copyAndWrite()
	f.platform.RestoreStore()
	f.platform.Republish()
	target := f.platform.Targets("ledger")[2]
	f.platform.SetDraining(target)
	f.await("no VM uses the target", 7*time.Second, func() bool {
		for _, n := range f.nodes {
			if !n.roster.Leaving(siskin.TargetID(target.ID()), n.clock.Now()) {
				return false
			}
		}
		return true
	})
}

// TestStoreCallsAfterRestore guards against reads without a pause while the
// store's version is lower than before.
func TestStoreCallsAfterRestore(t *testing.T) {
	const interval = 4 * time.Second
	f := startFleet(t, 3)
	f.copyAndWrite()
	calls := f.platform.StoreCalls()
	time.Sleep(interval)
	usual := f.platform.StoreCalls() - calls
	f.platform.RestoreStore()
	f.platform.Republish()
	calls = f.platform.StoreCalls()
	time.Sleep(interval)
	// Each VM may write its own objects again and read each list once more.
	if got, want := f.platform.StoreCalls()-calls, 2*usual+10*int64(len(f.nodes)); got > want {
		t.Errorf("store calls within %v of the restore: got %d, want at most %d (%d before)", interval, got, want, usual)
	}
}

// TestOwnObjectsAfterRestore guards against VMs that start after a restore and
// find neither other VMs nor the share holders in the store: they would assign
// the rates anew.
func TestOwnObjectsAfterRestore(t *testing.T) {
	f := startFleet(t, 3)
	s := &platform.Store{BaseURL: "http://" + f.platform.Address(), HTTP: &http.Client{}, Timeout: time.Second}
	values := func() (m map[string]string, era siskin.Era) {
		m = make(map[string]string)
		for _, kind := range []siskin.ObjectKind{"vms", "rights"} {
			l, err := s.List(context.Background(), kind)
			if err != nil {
				t.Fatal(err)
			}
			for _, o := range l.Objects {
				if kind == "rights" {
					o.Value, era = withoutEra(t, o.Value)
				}
				m[string(kind)+"/"+o.Name] = string(o.Value)
			}
		}
		return m, era
	}
	want, first := values()
	for n := range 2 {
		f.platform.RestoreStore()
		f.platform.Republish()
		f.await("the objects are back, the share holders as those of the new era", 6*time.Second, func() bool {
			got, era := values()
			return maps.Equal(got, want) && era == first+siskin.Era(n+1)
		})
	}
}

// withoutEra returns a record of share holders without its era, and the era.
func withoutEra(t *testing.T, value json.RawMessage) (json.RawMessage, siskin.Era) {
	t.Helper()
	var fields map[string]json.RawMessage
	var era siskin.Era
	if err := errors.Join(json.Unmarshal(value, &fields), json.Unmarshal(fields["Era"], &era)); err != nil {
		t.Fatal(err)
	}
	delete(fields, "Era")
	rest, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return rest, era
}

// TestChangeAfterRestore guards against missing a change of the configuration
// whose version is lower than the last one read before the restore.
func TestChangeAfterRestore(t *testing.T) {
	f := startFleet(t, 3)
	f.copyAndWrite()
	f.platform.RestoreStore()
	f.platform.SetDeployment(testDeployment(2))
	f.writeOthers("after", 2*lostWrites) // earlier positions look valid again
	f.await("the change is in force on all VMs", 3*time.Second, func() bool {
		for _, n := range f.nodes {
			if n.table.Snapshot().Version != 2 {
				return false
			}
		}
		return true
	})
}

// TestWithdrawnKeyAfterRestore guards against a VM that starts while the store has
// an older copy of the configuration, and accepts a key that the fleet no longer
// accepts.
func TestWithdrawnKeyAfterRestore(t *testing.T) {
	f := startFleet(t, 3)
	f.platform.CopyStore()
	d := testDeployment(2)
	d.Customers[0].Keys = []string{"another key"}
	f.platform.SetDeployment(d)
	f.await("the key is withdrawn", 3*time.Second, func() bool {
		for _, n := range f.nodes {
			if n.table.Snapshot().Version != 2 {
				return false
			}
		}
		return true
	})
	f.platform.RestoreStore()
	f.platform.Republish()
	old := f.set(1, nil)
	if err := old.close(); err != nil {
		t.Fatal(err)
	}
	cfg := f.settings(1)
	cfg.Peer.Seeds = append(cfg.Peer.Seeds, cfg.Peer.Address) // a seed does not wait for its peers
	n, err := newNode(cfg, logs.New("error", "json", io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	f.set(1, n)
	for range 50 {
		if c, err := f.dial(1, "orders", testKey); err == nil {
			_ = c.Conn.Close() // the session is not used
			t.Fatal("the VM that has started accepts the withdrawn key")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if got := n.table.Snapshot().Version; got != 2 {
		t.Errorf("revision in force: got %d, want 2", got)
	}
}
