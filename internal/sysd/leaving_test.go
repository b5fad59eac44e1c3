package sysd

import (
	"errors"
	"testing"
	"time"

	"siskintray.example/siskin"
)

const (
	// drainTime is the time for which a leaving target goes on, and
	// noticeTime the part of it after which all VMs know that it drains and
	// have seen its commits at the other replicas.
	drainTime  = 7 * time.Second
	noticeTime = 5 * time.Second
)

// TestReplicaLeaves guards against acknowledged commits that are lost because
// only a draining replica received them before it ended, and the primary
// crashed after it.
func TestReplicaLeaves(t *testing.T) {
	f := startFleet(t, 3)
	f.writeDuring(func() {
		primary := f.platform.Primary("ledger")
		targets := f.platform.Targets("ledger")
		leaving, staying := targets[1], targets[2]
		successor, err := f.platform.AddTarget("ledger")
		if err != nil {
			t.Fatal(err)
		}
		f.platform.SetDraining(leaving)
		time.Sleep(noticeTime)
		staying.SetReceiveBlocked(true)
		successor.SetReceiveBlocked(true)
		time.Sleep(drainTime - noticeTime)
		f.platform.Leave(leaving)
		time.Sleep(300 * time.Millisecond)
		primary.Crash()
		f.awaitNewPrimary(string(primary.ID()))
		staying.SetReceiveBlocked(false)
		successor.SetReceiveBlocked(false)
		if err := primary.Restart(); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
	})
}

// cutOff separates a VM from the platform and the other VMs for good. Callers and
// targets reach it. The result ends the separation from the VMs.
func (f *testFleet) cutOff(i int) (rejoin func()) {
	id := siskin.VMID(f.node(i).cfg.VM.ID)
	if err := errors.Join(f.node(i).feed.Close(), f.node(i).elect.Close()); err != nil {
		f.t.Fatal(err)
	}
	for _, n := range f.nodes {
		n.peers.SetLookup(func(peer siskin.VMID) (string, bool) {
			if n == f.node(i) || peer == id {
				return "", false
			}
			return n.crew.Address(peer)
		})
	}
	return func() {
		for _, n := range f.nodes {
			n.peers.SetLookup(n.crew.Address)
		}
	}
}

// TestCutOffWhileReplicaLeaves guards against acknowledged commits that are lost
// because a VM that is cut off does not know that the only replica which has
// them leaves.
func TestCutOffWhileReplicaLeaves(t *testing.T) {
	f := startFleet(t, 3)
	f.writeDuring(func() {
		primary := f.platform.Primary("ledger")
		targets := f.platform.Targets("ledger")
		leaving, staying := targets[1], targets[2]
		successor, err := f.platform.AddTarget("ledger")
		if err != nil {
			t.Fatal(err)
		}
		f.await("all VMs know the successor", 5*time.Second, func() bool {
			for _, n := range f.nodes {
				if len(n.roster.Service("ledger")) != 4 {
					return false
				}
			}
			return true
		})
		rejoin := f.cutOff(0)
		f.platform.SetDraining(leaving)
		time.Sleep(noticeTime)
		staying.SetReceiveBlocked(true)
		successor.SetReceiveBlocked(true)
		time.Sleep(drainTime - noticeTime)
		primary.Crash()
		f.awaitNewPrimary(string(primary.ID()))
		staying.SetReceiveBlocked(false)
		successor.SetReceiveBlocked(false)
		rejoin()
		if err := primary.Restart(); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
	})
}

// TestReplicaLeavesUncovered guards against the same loss when the staying
// replicas receive nothing from the start of the drain on: the primary must not
// be replaced, since it alone has the commits.
func TestReplicaLeavesUncovered(t *testing.T) {
	f := startFleet(t, 3)
	f.writeDuring(func() {
		primary := f.platform.Primary("ledger")
		targets := f.platform.Targets("ledger")
		leaving, staying := targets[1], targets[2]
		successor, err := f.platform.AddTarget("ledger")
		if err != nil {
			t.Fatal(err)
		}
		staying.SetReceiveBlocked(true)
		successor.SetReceiveBlocked(true)
		time.Sleep(300 * time.Millisecond)
		f.platform.SetDraining(leaving)
		time.Sleep(drainTime)
		f.platform.Leave(leaving)
		time.Sleep(300 * time.Millisecond)
		primary.Crash()
		time.Sleep(5 * time.Second)
		staying.SetReceiveBlocked(false)
		successor.SetReceiveBlocked(false)
		if err := primary.Restart(); err != nil {
			t.Error(err)
		}
		time.Sleep(2 * time.Second)
	})
}
