package sysd

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin/platform/stand"
)

// writer writes distinct values until stopped, and records the outcome of
// each.
type writer struct {
	acked, unknown, refused []string
	gap                     time.Duration // longest time between two acknowledged writes
}

// startWriters runs a writer at each VM until stop is closed. The returned
// function waits for the writers.
func (f *testFleet) startWriters(stop <-chan struct{}) func() []*writer {
	var wg sync.WaitGroup
	var list []*writer
	for vm := range len(f.nodes) {
		w := &writer{}
		list = append(list, w)
		wg.Go(func() { w.run(f, vm, stop) })
	}
	return func() []*writer {
		wg.Wait()
		return list
	}
}

func (w *writer) run(f *testFleet, vm int, stop <-chan struct{}) {
	var c *stand.Client
	last := time.Now()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = f.dial(vm, "orders", testKey); err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		value := fmt.Sprintf("v%d-%d", vm, i)
		res, err := c.Query("WRITE item-" + value + " " + value)
		switch {
		case err != nil:
			w.unknown = append(w.unknown, value)
			c.Conn.Close()
			c = nil
		case res.Code == "":
			w.gap = max(w.gap, time.Since(last))
			last = time.Now()
			w.acked = append(w.acked, value)
		case res.Code == "BUSY" || res.Code == "ABORTED" || res.Code == "READONLY" || res.Code == "LAGGING":
			w.refused = append(w.refused, value)
			time.Sleep(10 * time.Millisecond)
		default:
			w.unknown = append(w.unknown, value)
		}
		time.Sleep(3 * time.Millisecond)
	}
}

// checkWrites compares the outcomes that the writers got with the log of the
// primary.
func (f *testFleet) checkWrites(writers []*writer) {
	f.t.Helper()
	p := f.platform.Primary("ledger")
	if p == nil {
		f.t.Fatal("got no primary at the end")
	}
	total := 0
	for _, w := range writers {
		total += len(w.acked)
		for _, v := range w.acked {
			if got := p.Count("item-"+v, v); got != 1 {
				f.t.Errorf("acknowledged write %s: got %d in the log, want 1", v, got)
			}
		}
		for _, v := range w.unknown {
			if got := p.Count("item-"+v, v); got > 1 {
				f.t.Errorf("write %s of unknown outcome: got %d in the log, want at most 1", v, got)
			}
		}
		for _, v := range w.refused {
			if got := p.Count("item-"+v, v); got != 0 {
				f.t.Errorf("write %s was refused as not run: got %d in the log, want 0", v, got)
			}
		}
	}
	if total < 50 {
		f.t.Errorf("acknowledged writes: got %d, want at least 50", total)
	}
}

// writeDuring writes while injectFaults runs, and checks the result.
func (f *testFleet) writeDuring(injectFaults func()) []*writer {
	f.t.Helper()
	stop := make(chan struct{})
	wait := f.startWriters(stop)
	time.Sleep(500 * time.Millisecond)
	injectFaults()
	time.Sleep(500 * time.Millisecond)
	close(stop)
	writers := wait()
	f.checkWrites(writers)
	return writers
}

// awaitNewPrimary waits until a target other than the given one is primary and
// serves.
func (f *testFleet) awaitNewPrimary(old string) {
	f.t.Helper()
	f.await("another target is the primary", 7*time.Second, func() bool {
		p := f.platform.Primary("ledger")
		return p != nil && string(p.ID()) != old
	})
}

// TestPrimaryCrash guards against writes that are lost, duplicated or wrongly
// refused when a primary crashes, and against a long interruption.
func TestPrimaryCrash(t *testing.T) {
	f := startFleet(t, 3)
	writers := f.writeDuring(func() {
		old := f.platform.Primary("ledger")
		old.Crash()
		f.awaitNewPrimary(string(old.ID()))
		time.Sleep(time.Second)
		if err := old.Restart(); err != nil {
			t.Error(err)
		}
	})
	for _, w := range writers {
		if w.gap > 7*time.Second { // the users require a new primary within this time
			t.Errorf("gap in writes: got %v, want at most 7s", w.gap)
		}
	}
}

// TestPrimaryCrashStoreDown guards against a failover that needs the store.
func TestPrimaryCrashStoreDown(t *testing.T) {
	f := startFleet(t, 3)
	// A VM reserves its fencing token when it begins to watch the service.
	time.Sleep(500 * time.Millisecond)
	f.writeDuring(func() {
		f.platform.SetStoreFaults(stand.StoreFaults{Down: true})
		old := f.platform.Primary("ledger")
		old.Crash()
		f.awaitNewPrimary(string(old.ID()))
	})
}

// TestLatePromotion guards against an unanswered promotion that takes effect
// after a later one.
func TestLatePromotion(t *testing.T) {
	f := startFleet(t, 3)
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

// TestStalledPrimary guards against a primary that is cut off from its
// replicas and stays primary, so that no write is ever acknowledged.
func TestStalledPrimary(t *testing.T) {
	f := startFleet(t, 3)
	f.writeDuring(func() {
		old := f.platform.Primary("ledger")
		old.SetPartitioned(true)
		f.awaitNewPrimary(string(old.ID()))
		time.Sleep(time.Second)
		old.SetPartitioned(false)
	})
}

// TestReplicasGone guards against a primary that is demoted although no
// replica can replace it, for instance by a VM that is cut off together with
// it.
func TestReplicasGone(t *testing.T) {
	f := startFleet(t, 3)
	f.writeDuring(func() {
		primary := f.platform.Primary("ledger")
		for _, target := range f.platform.Targets("ledger") {
			if target != primary {
				target.Crash()
			}
		}
		for range 25 {
			time.Sleep(100 * time.Millisecond)
			if !primary.IsPrimary() {
				t.Error("primary while no replica is running: got it demoted, want it unchanged")
				break
			}
		}
		for _, target := range f.platform.Targets("ledger") {
			if target != primary {
				if err := target.Restart(); err != nil {
					t.Error(err)
				}
			}
		}
		time.Sleep(time.Second)
	})
}

// TestLostAnswers guards against writes that are sent again after their answer
// was lost.
func TestLostAnswers(t *testing.T) {
	f := startFleet(t, 3)
	f.writeDuring(func() {
		for range 10 {
			f.platform.Primary("ledger").LoseAnswers(3)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestPlannedChange guards against writes that are lost in a planned
// switchover, when the primary is about to stop.
func TestPlannedChange(t *testing.T) {
	f := startFleet(t, 3)
	f.writeDuring(func() {
		old := f.platform.Primary("ledger")
		f.platform.SetDraining(old)
		f.awaitNewPrimary(string(old.ID()))
	})
}

// TestVMCrash guards against requests that hang when the home of the primary
// crashes, and against rate limits that refuse everything afterwards.
func TestVMCrash(t *testing.T) {
	f := startFleet(t, 4)
	f.writeDuring(func() {
		info, _ := f.node(0).roster.Target(f.platform.Primary("ledger").ID())
		for i, n := range f.nodes {
			if n.path.IsHome(info) {
				f.set(i, nil)
				if err := n.close(); err != nil {
					t.Error(err)
				}
				f.set(i, f.start(i))
				break
			}
		}
		time.Sleep(2 * time.Second)
	})
}

// TestDrain guards against a planned stop that cuts statements or transactions
// in progress.
func TestDrain(t *testing.T) {
	f := startFleet(t, 4)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for range 8 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := f.dial(3, "orders", testKey)
				if err != nil {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				// Statements follow each other without a pause, so that each
				// session has one in progress nearly all the time.
				for answered := 0; ; answered++ {
					if _, err := c.Query("READ x"); err != nil {
						if answered == 0 {
							mu.Lock()
							cut++
							mu.Unlock()
						}
						c.Conn.Close()
						break
					}
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	n := f.set(3, nil)
	began := time.Now()
	n.drain(context.Background())
	took := time.Since(began)
	close(stop)
	if err := n.close(); err != nil {
		t.Error(err)
	}
	wg.Wait()
	if limit := n.cfg.Stop.Grace; took > limit {
		t.Errorf("planned stop: got %v, want at most %v", took, limit)
	}
}
