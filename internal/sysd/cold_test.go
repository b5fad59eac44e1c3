package sysd

import (
	"sync"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/platform/stand"
)

// testColdRate is the rate that a cold target of the tests can handle, in
// statements per second.
const testColdRate = 20

// coldBound is the maximum number of statements that a cold target may get in
// one second.
const coldBound = testColdRate*testColdExcess + testColdSlack

// setColdDeployment applies a configuration whose targets start cold.
func (f *testFleet) setColdDeployment() {
	f.t.Helper()
	f.revision++
	d := testDeployment(f.revision)
	d.Services[0].ColdRate, d.Services[0].ColdDuration = testColdRate, 10*time.Second
	f.platform.SetDeployment(d)
	f.await("the configuration is applied", 5*time.Second, func() bool {
		for i := range len(f.nodes) {
			if f.node(i).table.Snapshot().Version != siskin.Revision(f.revision) {
				return false
			}
		}
		return true
	})
}

// busiestSecond returns the maximum number of statements of callers that
// reached a target in any one second after the given time, and their total
// number.
func busiestSecond(target *stand.Target, from time.Time) (most, all int) {
	list := target.Arrivals("acme")
	for len(list) > 0 && list[0].Before(from) {
		list = list[1:]
	}
	first := 0
	for i := range list {
		for list[i].Sub(list[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, len(list)
}

// TestColdTargetIsNotFlooded guards against VMs that together send more
// statements to a cold target than it can handle, when all targets are cold
// and callers send more than that.
func TestColdTargetIsNotFlooded(t *testing.T) {
	f := startFleet(t, 3)
	targets := f.platform.Targets("ledger")
	for _, target := range targets {
		f.platform.SetCold(target, 10*time.Second)
	}
	f.setColdDeployment()
	f.await("all VMs know the cold targets", 5*time.Second, func() bool {
		for i := range len(f.nodes) {
			for _, target := range targets {
				if info, _ := f.node(i).roster.Target(target.ID()); info.ColdRemaining == 0 {
					return false
				}
			}
		}
		return true
	})
	from := time.Now()
	stop := make(chan struct{})
	traffic := f.startTraffic(stop)
	time.Sleep(5 * time.Second)
	close(stop)
	traffic.Wait()
	total := 0
	for _, target := range targets {
		most, all := busiestSecond(target, from)
		if total += all; most > coldBound {
			t.Errorf("statements at cold target %s in one second: got %d, want at most %v", target.ID(), most, coldBound)
		}
	}
	t.Logf("statements at %d cold targets in 5 s: %d", len(targets), total)
	if total < 30 {
		t.Errorf("statements at cold targets in 5 s: got %d, want 30 or more", total)
	}
	for _, target := range targets {
		f.platform.SetCold(target, 0)
	}
	c := f.mustDial(0, "designs")
	served := 0
	f.await("warm targets serve all reads", 5*time.Second, func() bool {
		if res, err := c.Query("READ a"); err != nil || res.Code != "" {
			served = 0
		}
		served++
		return served == 100
	})
}

// TestRestartedTargetIsNotFlooded guards against a burst of statements that
// waited for a restarting target. The target is cold, and the target lists of
// the VMs do not show that yet.
func TestRestartedTargetIsNotFlooded(t *testing.T) {
	f := startFleet(t, 3)
	f.setColdDeployment()
	stop := make(chan struct{})
	var traffic []*sync.WaitGroup
	for range 4 {
		traffic = append(traffic, f.startTraffic(stop))
	}
	defer func() {
		close(stop)
		for _, wg := range traffic {
			wg.Wait()
		}
	}()
	time.Sleep(time.Second)
	// The primary is back before another target is promoted, so all writes
	// wait for it.
	primary := f.platform.Primary("ledger")
	primary.Crash()
	from := time.Now()
	if err := primary.Restart(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second) // a target writes its entry every 1.2 s
	f.platform.SetCold(primary, 4*time.Second)
	time.Sleep(3 * time.Second)
	if got := f.platform.Primary("ledger"); got != primary {
		t.Errorf("primary: got another one, want %s, which has restarted", primary.ID())
	}
	most, all := busiestSecond(primary, from)
	t.Logf("statements at a target in 4 s after its start: %d; most in one second: %d", all, most)
	if most > coldBound {
		t.Errorf("statements in one second at a target that started cold: got %d, want at most %v", most, coldBound)
	}
}

// TestColdRate guards against a rate for cold targets above what the platform
// allows, and against such a rate where no target is ever cold.
func TestColdRate(t *testing.T) {
	d := testDeployment(1)
	addColdRates(d, testColdExcess, testColdSlack)
	if got := len(d.Customers); got != 1 {
		t.Errorf("rates where targets are never cold: got %d, want that of the customer only", got)
	}
	d.Services[0].ColdRate, d.Services[0].ColdDuration = testColdRate, 10*time.Second
	addColdRates(d, 0, 0)
	if got := len(d.Customers); got != 1 {
		t.Errorf("rates where the platform bounds no cold targets: got %d, want that of the customer only", got)
	}
	addColdRates(d, testColdExcess, testColdSlack)
	if got := d.Customers[len(d.Customers)-1]; got.ID != coldRateID("ledger") || got.Rate != coldRateShare*testColdRate*testColdExcess || got.Burst != testColdSlack-coldSlackReserve {
		t.Errorf("rate of cold targets: got %+v, want %v a second and %d at once", got, coldRateShare*testColdRate*testColdExcess, testColdSlack-coldSlackReserve)
	}
}
