package limit

import (
	"context"
	"fmt"
	"testing"
	"time"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/config"
)

// TestUnresponsiveHolderBlocksOnlyItsBuckets guards against an unreachable VM
// that blocks the reclaim of buckets of which it is not a holder, in the same
// object and in others.
func TestUnresponsiveHolderBlocksOnlyItsBuckets(t *testing.T) {
	shared := siskin.CustomerID("shared")
	other := siskin.CustomerID("")
	for i := 0; other == ""; i++ { // a customer of another bucket of the same object
		id := siskin.CustomerID(fmt.Sprint("customer-", i))
		if bucketOf(id) != bucketOf(shared) && objectOf(bucketOf(id)) == objectOf(bucketOf(shared)) {
			other = id
		}
	}
	f := newFleet(1, &config.Customer{ID: shared, Rate: 100, Burst: 100}, &config.Customer{ID: other, Rate: 100, Burst: 100}, &config.Customer{ID: "third", Rate: 100, Burst: 100})
	homes := func(id siskin.CustomerID, live []siskin.VM) (list []siskin.VM) {
		for _, vm := range live {
			if vm.ID != "v3" || id == shared {
				list = append(list, vm)
			}
		}
		return list
	}
	for i := range 3 {
		n := f.start(fmt.Sprint("v", i+1), 1, fmt.Sprint("d", i+1))
		n.l = New(f, f.view, n, n, f, WithHomes(homes))
		for _, id := range f.view.Customers() {
			if n.vm.ID != "v3" || id == shared {
				n.l.Prepare(id)
			}
		}
	}
	f.run(time.Second)
	f.vms[2].paused = f.at.Add(time.Hour)
	f.vms[0].dead, f.vms[0].vm.State = true, siskin.VMGone
	f.run(5 * time.Second)
	for id, want := range map[siskin.CustomerID]bool{shared: false, other: true, "third": true} {
		if got := f.sum(id) == siskin.TotalQuotaUnits; got != want {
			t.Errorf("%s: got all units in use %v, want %v", id, got, want)
		}
	}
}

// TestReportsAreKept guards against a reclaim that never ends because in each
// round the reply of one of many holders is lost.
func TestReportsAreKept(t *testing.T) {
	f := newFleet(1, &config.Customer{ID: "a", Rate: 100, Burst: 100})
	for i := range 30 {
		f.start(fmt.Sprint("v", i), 1, fmt.Sprint("d", i%4))
	}
	f.run(2 * time.Second)
	f.lossRate = 0.5
	f.vms[0].dead, f.vms[0].vm.State = true, siskin.VMGone
	f.run(60 * time.Second)
	if got := f.sum("a"); got != siskin.TotalQuotaUnits {
		t.Errorf("got %d units after 60 s with half of the replies lost, want %d", got, siskin.TotalQuotaUnits)
	}
}

// countingPlatform counts the reads of the platform.
type countingPlatform struct {
	siskin.Platform
	reads int
}

func (c *countingPlatform) Get(ctx context.Context, name siskin.ObjectName) (siskin.Object, error) {
	c.reads++
	return c.Platform.Get(ctx, name)
}

// TestWaitCostsNoPlatformCalls guards against reclaims that read the platform
// every second while a holder cannot be reached. When a data centre is cut
// off, most of the fleet would do that.
func TestWaitCostsNoPlatformCalls(t *testing.T) {
	f := newFleet(1, &config.Customer{ID: "a", Rate: 100, Burst: 100})
	platform := &countingPlatform{Platform: f}
	for i := range 3 {
		n := f.start(fmt.Sprint("v", i), 1, fmt.Sprint("d", i))
		n.l = New(f, f.view, n, n, platform)
		n.l.Prepare("a")
	}
	f.run(time.Second)
	f.vms[1].paused = f.at.Add(time.Minute)
	f.vms[0].dead, f.vms[0].vm.State = true, siskin.VMGone
	f.run(10 * time.Second)
	before := platform.reads
	f.run(25 * time.Second)
	if got := platform.reads - before; got > 1 {
		t.Errorf("got %d reads of the platform in 25 s of waiting, want at most 1, the refresh", got)
	}
	f.run(30 * time.Second)
	if got := f.sum("a"); got != siskin.TotalQuotaUnits {
		t.Errorf("got %d units after the holder resumed, want %d", got, siskin.TotalQuotaUnits)
	}
}

// TestOneUpdateForObject guards against a start that makes a platform call for
// each customer.
func TestOneUpdateForObject(t *testing.T) {
	var docs []*config.Customer
	for i := range 5000 {
		docs = append(docs, &config.Customer{ID: siskin.CustomerID(fmt.Sprint("customer-", i)), Rate: 1, Burst: 1})
	}
	f := newFleet(1, docs...)
	for i := range 2 {
		f.start(fmt.Sprint("v", i), 1, "d1").l.readRecords(t.Context())
	}
	for name, o := range f.objects {
		if o.Version > 2 {
			t.Errorf("%s: got version %d after the start of 2 VMs, want at most 2", name, o.Version)
		}
	}
	if got := len(f.objects); got > 256 {
		t.Errorf("got %d objects, want at most 256", got)
	}
}

// TestEarlierFormatIsRefused guards against a mixed fleet: a VM that took a
// record in the earlier format for an empty one would grant all units again.
func TestEarlierFormatIsRefused(t *testing.T) {
	f := newFleet(1, &config.Customer{ID: "a", Rate: 100, Burst: 100})
	name := objectName(objectOf(bucketOf("a")))
	f.objects[name] = siskin.Object{Name: name, Version: 1, Value: []byte(`{"Epoch":1,"Holders":[{"VM":"v9","Incarnation":1}],"Grants":[]}`)}
	n := f.start("v1", 1, "d1")
	f.run(2 * time.Second)
	if got := n.l.core.units("a"); got != 0 || f.objects[name].Version != 1 {
		t.Errorf("got %d units and version %d, want 0 and the object unchanged", got, f.objects[name].Version)
	}
}
