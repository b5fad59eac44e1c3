package sysd

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"siskintray.example/siskin/platform/stand"
)

// readNewest checks that reads on a primary route see every commit
// acknowledged before them: one session increments an item, and one session at
// each other VM reads it.
func (f *testFleet) readNewest(stop <-chan struct{}) {
	var acked atomic.Int64
	var wg sync.WaitGroup
	wg.Go(func() {
		f.keepSession(0, stop, func(c *stand.Client) error {
			next := acked.Load() + 1
			res, err := c.Query("WRITE newest " + strconv.FormatInt(next, 10))
			if err == nil && res.Code == "" {
				acked.Store(next)
			}
			return err
		})
	})
	for vm := 1; vm < len(f.nodes); vm++ {
		wg.Go(func() {
			f.keepSession(vm, stop, func(c *stand.Client) error {
				want := acked.Load()
				res, err := c.Query("READ newest")
				if err != nil || res.Code != "" || want == 0 {
					return err
				}
				if got, err := strconv.ParseInt(res.Rows[0], 10, 64); err != nil || got < want {
					f.t.Errorf("read on a primary route at VM %d: got %s, want %d or more", vm, res.Rows[0], want)
				}
				return nil
			})
		})
	}
	wg.Wait()
}

// keepSession calls use with a session on a primary route until stop is
// closed, and opens another session when it breaks.
func (f *testFleet) keepSession(vm int, stop <-chan struct{}, use func(*stand.Client) error) {
	var c *stand.Client
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = f.dial(vm, "orders", testKey); err != nil {
				continue
			}
		}
		if use(c) != nil {
			c.Conn.Close()
			c = nil
		}
	}
}

// TestFormerPrimaryGoesOn guards against stale reads, lost writes and
// decreasing fencing tokens on a platform where a promotion does not demote
// the former primary.
func TestFormerPrimaryGoesOn(t *testing.T) {
	f := startUnfencedFleet(t, 3)
	stop := make(chan struct{})
	var readers sync.WaitGroup
	readers.Go(func() { f.readNewest(stop) })
	f.writeDuring(func() {
		for range 2 {
			old := f.platform.Primary("ledger")
			old.SetPartitioned(true)
			f.awaitNewPrimary(string(old.ID()))
			time.Sleep(1500 * time.Millisecond)
			old.SetPartitioned(false)
			time.Sleep(500 * time.Millisecond)
		}
	})
	close(stop)
	readers.Wait()
}

// TestUnfencedStoreDown guards against a failover that, while the store is
// down, uses a fencing token obtained before an earlier failover of the same
// service. New tokens come only from the store.
func TestUnfencedStoreDown(t *testing.T) {
	f := startUnfencedFleet(t, 3)
	f.mustQuery(f.mustDial(0, "orders"), "WRITE x 1")
	f.await("all VMs have a fencing token requested after the term was known", 5*time.Second, func() bool {
		for _, n := range f.nodes {
			if term := n.views.LatestProof("ledger").Term; term == 0 || !n.elect.HasFencingToken("ledger", term) {
				return false
			}
		}
		return true
	})
	f.writeDuring(func() {
		f.platform.SetStoreFaults(stand.StoreFaults{Down: true})
		old := f.platform.Primary("ledger")
		old.Crash()
		f.awaitNewPrimary(string(old.ID()))
	})
}

// TestUnfencedPlannedChange is TestPlannedChange on a platform that checks no
// fencing tokens: the primary is demoted before it stops, and no read is
// stale.
func TestUnfencedPlannedChange(t *testing.T) {
	f := startUnfencedFleet(t, 3)
	stop := make(chan struct{})
	var readers sync.WaitGroup
	readers.Go(func() { f.readNewest(stop) })
	f.writeDuring(func() {
		old := f.platform.Primary("ledger")
		f.platform.SetDraining(old)
		f.awaitNewPrimary(string(old.ID()))
	})
	close(stop)
	readers.Wait()
}

// TestUnfencedLatePromotion is TestLatePromotion on a platform that checks no
// fencing tokens, so that a late promotion is always carried out.
func TestUnfencedLatePromotion(t *testing.T) {
	f := startUnfencedFleet(t, 3)
	f.writeDuring(func() {
		f.platform.SetLatePromotions(1500 * time.Millisecond)
		old := f.platform.Primary("ledger")
		old.Crash()
		time.Sleep(800 * time.Millisecond)
		f.platform.SetLatePromotions(0)
		f.awaitNewPrimary(string(old.ID()))
		time.Sleep(2 * time.Second)
	})
}
