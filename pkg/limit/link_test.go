package limit

import (
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// TestUnresponsiveDonorIsAskedAgain guards against requests that are rejected
// for seconds after the end of a partition, because by then the requests to
// the other side are repeated rarely.
func TestUnresponsiveDonorIsAskedAgain(t *testing.T) {
	f := newFleet(1, &config.Customer{ID: "a", Rate: 1000, Burst: 1000})
	one, two := f.start("v1", 1, "d1"), f.start("v2", 1, "d2")
	f.run(time.Second)
	admitted := func(n *node, d time.Duration) (count int) {
		for end := f.at.Add(d); f.at.Before(end); f.step() {
			if n.l.Admit(f.at, "a", 1).Admitted {
				count++
			}
		}
		return count
	}
	f.partitioned = func(a, b *node) bool { return true }
	admitted(one, 4*time.Second)
	l := one.l.core.links["v2"]
	if !l.unresponsive() || l.retryAt-one.l.now() < 500*time.Millisecond {
		t.Fatalf("got the next retry in %v after the partition began, want the donor unresponsive and a long delay", l.retryAt-one.l.now())
	}
	f.partitioned = func(a, b *node) bool { return false }
	admitted(two, 10*time.Millisecond) // uses its tokens
	two.l.core.admit(two.l.now(), "a", 2000, true)
	f.run(20 * time.Millisecond) // it asks for units, which shows that it responds
	if got := one.l.core.links["v2"]; got.unresponsive() {
		t.Errorf("got the donor unresponsive with the next retry in %v, want it asked again", got.retryAt-one.l.now())
	}
}

// TestOwnDataCentreIsAskedFirst guards against requests for units to other
// data centres, which need their units when they are cut off, while a VM in
// the same data centre has units to spare.
func TestOwnDataCentreIsAskedFirst(t *testing.T) {
	f := newFleet(1, &config.Customer{ID: "a", Rate: 100, Burst: 100})
	for _, vm := range []struct{ id, dc string }{{"v1", "d1"}, {"v2", "d2"}, {"v3", "d1"}, {"v4", "d3"}} {
		f.start(vm.id, 1, vm.dc)
	}
	f.run(time.Second)
	requester, near := f.vms[0], f.vms[2]
	if requester.l.core.units("a") != 0 {
		requester, near = near, requester
	}
	requester.l.Admit(f.at, "a", 1)
	requester.l.core.bucket(bucketOf("a")).holdings.get("a").hints.set(requester.l.now(), "v2", siskin.TotalQuotaUnits/2)
	out := requester.l.core.plan(requester.l.now())
	if len(out) != 1 || out[0].to != near.vm.ID {
		t.Errorf("got %d messages, the first to %+v, want one to %s", len(out), out, near.vm.ID)
	}
}
