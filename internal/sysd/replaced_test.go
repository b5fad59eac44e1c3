package sysd

import (
	"context"
	"math"
	"testing"
	"time"
)

// shares returns the sum of the shares of rates that the running VMs may spend.
func (f *testFleet) shares() float64 {
	total := 0.0
	for i := range f.nodes {
		if n := f.node(i); n != nil {
			total += n.rates.Share()
		}
	}
	return total
}

// TestReplacedVMs guards against shares of rates that are gone with the VMs that
// held them first: once all are replaced, every request is refused for its rate.
func TestReplacedVMs(t *testing.T) {
	const vms = 3
	f := startFleet(t, vms)
	stop := func(i int) {
		old := f.set(i, nil)
		old.drain(context.Background())
		if err := old.close(); err != nil {
			t.Error(err)
		}
	}
	complete := func() bool {
		got := f.shares()
		if got > 1+1e-9 {
			t.Errorf("sum of shares: got %v, want at most 1", got)
		}
		return math.Abs(got-1) < 1e-9
	}
	for i := range vms {
		f.set(vms+i, f.start(vms+i))
		f.await("the new VM knows the others", 5*time.Second, func() bool { return len(f.node(vms+i).crew.Live()) == vms+1 })
		stop(i)
		f.await("the new VM has the share of its predecessor", 5*time.Second, complete)
	}
	// A restart of all leaves nothing but the record.
	for i := range vms {
		if err := f.set(vms+i, nil).close(); err != nil {
			t.Error(err)
		}
	}
	for i := range vms {
		f.set(vms+i, f.start(vms+i))
	}
	f.await("the VMs have the shares after a restart", 10*time.Second, complete)
	f.await("a request is admitted", 5*time.Second, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return f.node(vms).rates.AdmitWait(ctx, "acme", 1).Admitted
	})
}

// TestStartAfterRestore guards against a fleet without rates that starts as a
// whole just after the store has returned from an older copy.
func TestStartAfterRestore(t *testing.T) {
	const vms = 3
	f := startFleet(t, vms)
	f.platform.CopyStore()
	for i := range vms {
		if err := f.set(i, nil).close(); err != nil {
			t.Error(err)
		}
	}
	f.platform.RestoreStore()
	f.platform.Republish()
	for i := range vms {
		f.set(i, f.start(i))
	}
	f.await("the VMs have the shares again", 10*time.Second, func() bool { return math.Abs(f.shares()-1) < 1e-9 })
}
